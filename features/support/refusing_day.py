"""Emulated days whose callers may be refused, and come back as they are told."""

from hornbeampaddle_cell.admission import Admission, Competitors, Refuse

TRIES_MAX = 4


class RefusingDay:
    """
    Callers of one emulator behind one instance's admission.

    ``refused`` maps the ids of refused jobs to the times of their tries.
    """

    def __init__(self, emulator, admission=None):
        """Put the admission before the emulator's jobs."""
        self.emulator = emulator
        self.admission = admission or Admission()
        self.refused = {}
        self._returns = []
        self._submit = emulator._submit
        self._tick = emulator._tick
        emulator._submit = self.ask
        emulator._tick = self.tick

    def tick(self):
        """Let the callers whose time has come ask again."""
        now_s = self.emulator.now_s
        due = [entry for entry in self._returns if entry[0] <= now_s]
        self._returns = [entry for entry in self._returns if entry[0] > now_s]
        for _, submission in due:
            self.ask(submission)
        self._tick()

    def ask(self, submission):
        """Hand a job in unless it is refused; its caller has four tries."""
        now_s, job = self.emulator.now_s, submission.job
        backlog = self.emulator.cell.backlog.backlog
        decision = self.admission.decide(job, backlog, now_s)
        if not isinstance(decision, Refuse):
            self._submit(submission)
            return
        # Owed as long as nothing serves it.
        self.emulator.submitted[job.job_id] = submission
        tries_s = self.refused.setdefault(job.job_id, [])
        tries_s.append(now_s)
        retry_after_s = self.admission.retry_after_s(
            job, decision.queue, Competitors(), now_s
        )
        if len(tries_s) < TRIES_MAX:
            self._returns.append((now_s + retry_after_s, submission))

    def served_in_time(self, job_id, ratio):
        """Return whether a job was done within ``ratio`` times its objective."""
        emulator = self.emulator
        submission = emulator.submitted[job_id]
        done_at_s = emulator.done_at_s.get(job_id, float("inf"))
        took_s = done_at_s - emulator.begun_at_s - submission.at_s
        return took_s <= ratio * emulator.demand.objective_s(submission)
