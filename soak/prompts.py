"""Check that prompts which crash engines soon reach no engine any more."""

from __future__ import annotations

import random

from .crash_budget import CrashBudget

# Crashes after which a part is known.
KNOWN_CRASHES = 5
HARMFUL_SHARE = 0.1


class PromptCheck(CrashBudget):
    """Adds harmful parts to prompts and counts their requests at engines.

    Parameters
    ----------
    seed : int
        Determines which requests are harmful.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(KNOWN_CRASHES)
        self._random = random.Random(f"{seed} prompts")
        self.harmful_part = ""

    def prompt(self, number: int) -> str:
        """Return the parts of the prompt of a request."""
        part = f"b{number % 5}"
        if self.harmful_part and self._random.random() < HARMFUL_SHARE:
            part = self.harmful_part
        return f"5c1e:568,{part}:200,own{number}:250"
