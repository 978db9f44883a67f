"""Close each scenario's scene, whatever became of the scenario."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))


def before_scenario(context, scenario):
    context.scene = None


def after_scenario(context, scenario):
    if context.scene is not None:
        context.scene.close()
