"""Decodes random bytes into sequences of steps for property-based tests.

A single draw of bytes gives a whole sequence, so that a test checks many more
sequences in the same time than with one draw for each argument.
"""

import itertools
from collections.abc import Iterable, Iterator

Step = tuple


def steps_of(name: str, *values: Iterable) -> list[Step]:
    """Return all variants of a kind of step: name and all argument combinations."""
    return [(name, *arguments) for arguments in itertools.product(*values)]


def steps_from(
    code: bytes,
    regular_kinds: list[list[Step]],
    fault_kinds: list[list[Step]],
    fault_kind_count: int,
) -> Iterator[Step]:
    """Decode bytes into steps.

    The first `fault_kind_count` bytes choose the kinds of faults, so that several
    faults of one kind occur together. Each further pair of bytes chooses the kind and
    the variant of a step.
    """
    chosen_faults = [
        fault_kinds[byte % len(fault_kinds)] for byte in code[:fault_kind_count]
    ]
    kinds = regular_kinds + chosen_faults
    rest = code[fault_kind_count:]
    for kind, variant in zip(rest[::2], rest[1::2], strict=False):
        variants = kinds[kind % len(kinds)]
        yield variants[variant % len(variants)]
