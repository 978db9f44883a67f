"""Steps on the periodic load of users and its forecast."""

import math
from random import Random

from behave import given, then, when

from hornbeampaddle.cell.slack_forecast import SlackForecaster

BEGIN_S = 1000.0
TICK_S = 0.13
MEAN_SLACK = 2.7
AMPLITUDE = 1.1
# Standard deviation of a reading: a tenth of the mean.
NOISE = 0.27
PHASES = [0.0, 0.2, 0.3, 1.2, 1.9, 2.8, 3.1, 4.0, 4.7, 5.5]


class Load:
    """The true slack that the users of each job leave it, and readings of it."""

    def __init__(self, period_s):
        self.period_s = period_s
        self.random = Random(1)
        self.now_s = BEGIN_S
        self.phases = {f"job{n}": phase for n, phase in enumerate(PHASES)}

    def slack(self, job_id, at_s):
        if not self.period_s:
            return MEAN_SLACK
        angle = 2 * math.pi * at_s / self.period_s + self.phases[job_id]
        return MEAN_SLACK + AMPLITUDE * math.sin(angle)

    def read(self, forecaster, seconds_s):
        self.readings = {}
        end_s = self.now_s + seconds_s
        while self.now_s < end_s:
            for job_id in self.phases:
                if self.random.random() < 0.6:
                    value = self.slack(job_id, self.now_s)
                    value += self.random.gauss(0, NOISE)
                    forecaster.observe(job_id, value, self.now_s)
                    self.readings.setdefault(job_id, []).append((self.now_s, value))
            forecaster.choose(self.now_s)
            self.now_s += TICK_S

    def root_mean_square_error(self, expected, ahead_s, job_ids=None):
        """Return the root mean square error of a forecast."""
        squared_errors = [
            (expected(job_id, ahead_s) - self.slack(job_id, self.now_s + ahead_s)) ** 2
            for job_id in job_ids or self.phases
        ]
        return math.sqrt(sum(squared_errors) / len(squared_errors))


@given(
    "10 serving jobs whose load has a period of {period_s:g} s, read for {span_s:g} s"
)
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


@then("the slack in {ahead_s:g} s is forecast to within {most:g}")
def expected(context, ahead_s, most):
    load = context.load
    rms_error = load.root_mean_square_error(
        lambda job_id, s: context.forecaster.expected(job_id, load.now_s + s), ahead_s
    )
    assert rms_error < most, rms_error


@then("the median of the last second misses it by more than {least:g}")
def median_of_last_second(context, least):
    load = context.load

    def median(job_id, _):
        values = sorted(
            v for at_s, v in load.readings[job_id] if at_s > load.now_s - 1.0
        )
        return values[len(values) // 2]

    rms_error = load.root_mean_square_error(median, 2.0)
    assert rms_error > least, rms_error


@when("another holder begins with what the previous one stored")
def taken_over(context):
    context.next = SlackForecaster()
    context.next.inherit(context.forecaster.period_s)
    context.uninformed = SlackForecaster()


@when("it reads for {span_s:g} s")
def next_reads(context, span_s):
    load = context.load
    begun_s, random_state = load.now_s, load.random.getstate()
    load.read(context.uninformed, span_s)
    load.now_s = begun_s
    load.random.setstate(random_state)
    load.read(context.next, span_s)


@then("it forecasts the slack in {ahead_s:g} s to within {most:g}")
def next_expects(context, ahead_s, most):
    load = context.load
    rms_error = load.root_mean_square_error(
        lambda job_id, s: context.next.expected(job_id, load.now_s + s), ahead_s
    )
    assert rms_error < most, rms_error


@then("a holder that begins without the period misses it by more than {least:g}")
def uninformed_error(context, least):
    load = context.load
    rms_error = load.root_mean_square_error(
        lambda job_id, s: context.uninformed.expected(job_id, load.now_s + s), 2.0
    )
    assert rms_error > least, rms_error


@when("one more job with that period is read for {span_s:g} s")
def one_more(context, span_s):
    context.load.phases["late"] = 2.2
    context.load.read(context.forecaster, span_s)


@then("its slack in {ahead_s:g} s is forecast to within {most:g}")
def late_expected(context, ahead_s, most):
    load = context.load
    rms_error = load.root_mean_square_error(
        lambda job_id, s: context.forecaster.expected(job_id, load.now_s + s),
        ahead_s,
        ["late"],
    )
    assert rms_error < most, rms_error
