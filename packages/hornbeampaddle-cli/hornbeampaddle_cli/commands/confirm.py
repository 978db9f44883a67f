"""Confirm a plan; it takes effect exactly as printed, or not at all."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..client import OperatorOptions, operator_call
from ..errors import UserError


@cappa.command(help="Apply a plan that 'plan' printed.")
@dataclass
class Confirm(OperatorOptions):
    """Confirm one plan."""

    plan: Annotated[Path, cappa.Arg(help="The file that 'plan' wrote.")] = Path()

    def __call__(self) -> None:
        """Send the plan and print the verdict."""
        try:
            body = self.plan.read_bytes()
        except OSError as error:
            raise UserError(f"cannot read the plan file: {error}") from None
        verdict = operator_call(self, "POST", "/v1/confirmations", body)
        if self.json:
            print(json.dumps(verdict))
        else:
            print(f"In force at offset {verdict['offset']}.")
