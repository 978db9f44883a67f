"""Charge the processor time of an instance: its work waits in one queue."""

import asyncio
from dataclasses import dataclass

# Turns of the event loop from the arrival of an answer to the task that awaits it.
TURNS_PER_ANSWER = 3


@dataclass(slots=True)
class ProcessorCosts:
    """
    Seconds of processor time that one instance spends on each piece of work.

    ``decision_s`` is for each worker of the cell and ``ranked_s`` for each worker that
    a step ranks; ``first_report_s`` comes on top of ``report_s`` for a new connection.
    """

    report_s: float = 0.0
    first_report_s: float = 0.0
    end_s: float = 0.0
    order_s: float = 0.0
    ranked_s: float = 0.0
    decision_s: float = 0.0
    unplaced_s: float = 0.0
    listing_s: float = 0.0


class Processor:
    """
    The processor of one instance, which does its work in order of arrival.

    Only the instance is slowed down: workers and store go on in their own time.
    """

    def __init__(self, costs: ProcessorCosts) -> None:
        """Start idle; ``costs`` may be changed at any time."""
        self.costs = costs
        self.busy_until_s = float("-inf")
        # Until when the instance is in a decision, which nothing interrupts.
        self.deciding_until_s = float("-inf")
        self.used_s = 0.0

    def lag_s(self) -> float:
        """Return how long work that arrives now waits."""
        return max(0.0, self.busy_until_s - asyncio.get_running_loop().time())

    def charge(self, cost_s: float) -> None:
        """Append work to the queue."""
        now_s = asyncio.get_running_loop().time()
        self.busy_until_s = max(now_s, self.busy_until_s) + cost_s
        self.used_s += cost_s

    def decide(self, cost_s: float) -> None:
        """Charge a decision; the instance's clock shows its end from now on."""
        now_s = asyncio.get_running_loop().time()
        self.charge(cost_s)
        self.deciding_until_s = now_s + cost_s

    async def turn(self, cost_s: float = 0.0) -> None:
        """Wait until the work that is queued now and ``cost_s`` are done."""
        self.charge(cost_s)
        await asyncio.sleep(self.lag_s())

    async def answer(self, cost_s: float, due_s: float) -> bool:
        """Read an answer; return whether it was read by ``due_s``."""
        for _ in range(TURNS_PER_ANSWER):
            await self.turn(cost_s / TURNS_PER_ANSWER)
        return asyncio.get_running_loop().time() <= due_s
