"""Steps on which instance claims a cell."""

from random import Random

from behave import given, then, when

from hornbeampaddle_cell.leadership import HolderRecord, Leadership, encode_holder
from hornbeampaddle_cell.settings import InstanceSettings

CHECK_INTERVAL_S = 0.02


@given(
    "an instance of {small:g} cores and one of {large:g} cores that cannot read the "
    "log for {outage_s:d} s"
)
def instances(context, small, large, outage_s):
    holder = encode_holder(HolderRecord("other-1", 1))
    context.outage_s = outage_s
    context.instances = {}
    for name, cores in (("small", small), ("large", large)):
        settings = InstanceSettings(f"{name}-1", name, "dc-1", cores)
        leadership = Leadership(settings, Random(1))
        leadership.observe(holder, 0.0)
        context.instances[name] = leadership


@when("the small one can read it again {before_s:g} s before the large one")
def read_again(context, before_s):
    readable_s = {"small": context.outage_s, "large": context.outage_s + before_s}
    context.claimed_s = {}
    for name, leadership in context.instances.items():
        now_s = 0.0
        while name not in context.claimed_s:
            now_s += CHECK_INTERVAL_S
            if now_s < readable_s[name]:
                leadership.note_unreadable(now_s)
            elif leadership.claim_due(now_s):
                context.claimed_s[name] = now_s


@then("the large one may claim the cell first")
def large_first(context):
    assert context.claimed_s["large"] < context.claimed_s["small"], context.claimed_s
