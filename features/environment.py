"""Close the scene of each scenario, whether it passed or failed."""

import sys
from pathlib import Path

HERE = Path(__file__).parent
sys.path[:0] = [str(HERE), str(HERE.parent)]


def before_scenario(context, scenario):
    context.scene = None


def after_scenario(context, scenario):
    if context.scene is not None:
        context.scene.close()
