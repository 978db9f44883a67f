"""Steps on the swing of users' loads."""

import math
from random import Random

from behave import given, then, when

from hornbeampaddle.cell.slack_forecast import SlackForecaster

BEGIN_S = 1000.0
TICK_S = 0.13
LEVEL = 2.7
SWING = 1.1
# A reading is off by a tenth.
NOISE = 0.27
PHASES = [0.0, 0.2, 0.3, 1.2, 1.9, 2.8, 3.1, 4.0, 4.7, 5.5]


class Load:
    """The own slack of jobs as their users really leave it, and readings of it."""

    def __init__(self, period_s):
        self.period_s = period_s
        self.random = Random(1)
        self.now_s = BEGIN_S
        self.phases = {f"job{n}": phase for n, phase in enumerate(PHASES)}

    def slack(self, job_id, at_s):
        if not self.period_s:
            return LEVEL
        angle = 2 * math.pi * at_s / self.period_s + self.phases[job_id]
        return LEVEL + SWING * math.sin(angle)

    def read(self, forecaster, seconds_s):
        self.last = {}
        end_s = self.now_s + seconds_s
        while self.now_s < end_s:
            for job_id in self.phases:
                if self.random.random() < 0.6:
                    value = self.slack(job_id, self.now_s)
                    value += self.random.gauss(0, NOISE)
                    forecaster.observe(job_id, value, self.now_s)
                    self.last.setdefault(job_id, []).append((self.now_s, value))
            forecaster.choose(self.now_s)
            self.now_s += TICK_S

    def miss(self, expected, ahead_s, job_ids=None):
        """Return the root mean square of what is missed."""
        misses = [
            (expected(job_id, ahead_s) - self.slack(job_id, self.now_s + ahead_s)) ** 2
            for job_id in job_ids or self.phases
        ]
        return math.sqrt(sum(misses) / len(misses))


@given("10 serving jobs whose load swings every {period_s:g} s, read for {span_s:g} s")
def swinging(context, period_s, span_s):
    context.load = Load(period_s)
    context.forecaster = SlackForecaster()
    context.load.read(context.forecaster, span_s)


@given("10 serving jobs whose load is steady, read for {span_s:g} s")
def steady(context, span_s):
    swinging(context, 0.0, span_s)


@then("the period is found to within {percent:g} %")
def period(context, percent):
    found_s = context.forecaster.period_s
    assert found_s is not None
    off = abs(found_s / context.load.period_s - 1)
    assert off <= percent / 100, found_s


@then("no period is found")
def no_period(context):
    assert context.forecaster.period_s is None, context.forecaster.period_s


@then("the slack in {ahead_s:g} s is expected to within {most:g}")
def expected(context, ahead_s, most):
    load = context.load
    missed = load.miss(
        lambda job_id, s: context.forecaster.expected(job_id, load.now_s + s), ahead_s
    )
    assert missed < most, missed


@then("by the middle of the last second it is missed by more than {least:g}")
def by_the_middle(context, least):
    load = context.load

    def middle(job_id, _):
        values = sorted(v for at_s, v in load.last[job_id] if at_s > load.now_s - 1.0)
        return values[len(values) // 2]

    missed = load.miss(middle, 2.0)
    assert missed > least, missed


@when("another holder begins with what the last one stored")
def taken_over(context):
    context.next = SlackForecaster()
    context.next.inherit(context.forecaster.period_s)
    context.newcomer = SlackForecaster()


@when("it reads for {span_s:g} s")
def next_reads(context, span_s):
    load = context.load
    begun_s, drawn = load.now_s, load.random.getstate()
    load.read(context.newcomer, span_s)
    load.now_s = begun_s
    load.random.setstate(drawn)
    load.read(context.next, span_s)


@then("it expects the slack in {ahead_s:g} s to within {most:g}")
def next_expects(context, ahead_s, most):
    load = context.load
    missed = load.miss(
        lambda job_id, s: context.next.expected(job_id, load.now_s + s), ahead_s
    )
    assert missed < most, missed


@then("a holder that begins with nothing misses it by more than {least:g}")
def newcomer_misses(context, least):
    load = context.load
    missed = load.miss(
        lambda job_id, s: context.newcomer.expected(job_id, load.now_s + s), 2.0
    )
    assert missed > least, missed


@when("one more job with that period is read for {span_s:g} s")
def one_more(context, span_s):
    context.load.phases["late"] = 2.2
    context.load.read(context.forecaster, span_s)


@then("its slack in {ahead_s:g} s is expected to within {most:g}")
def late_expected(context, ahead_s, most):
    load = context.load
    missed = load.miss(
        lambda job_id, s: context.forecaster.expected(job_id, load.now_s + s),
        ahead_s,
        ["late"],
    )
    assert missed < most, missed
