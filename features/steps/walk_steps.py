"""Steps for random walks and for the checker's specifications."""

from behave import then, when
from support.walk import walk

from model import cell, crashes, restarts, slots, takeover
from model.check import check

MODULES = {
    "takeover": takeover,
    "slots": slots,
    "cell": cell,
    "crashes": crashes,
    "restarts": restarts,
}


@when("a walk with seed {seed:d} is taken")
def take_walk(context, seed):
    context.ledger = walk(seed)


@then("nothing was doubled, overrun, lost or called not run though it ran")
def kept(context):
    assert context.ledger.requests_begun
    assert not context.ledger.doubled
    assert not context.ledger.overruns


@when('the checker explores "{name}" with every guard')
def explore(context, name):
    context.finding = check(MODULES[name])


@when('the checker explores "{name}" without "{guard}"')
def explore_without(context, name, guard):
    context.finding = check(MODULES[name], guard)


@then("every promise holds in more than {states:d} states")
def holds(context, states):
    assert not context.finding.broken, context.finding
    assert context.finding.states > states, context.finding.states


@then("it finds a broken promise")
def breaks(context):
    assert context.finding.broken, context.finding
