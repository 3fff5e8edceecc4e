"""Find the steps that must be complete since a later one has run; pure.

An owner starts a step only after it knows that all tasks of the steps before it are
done. It may not have stored all of this: the ends of these tasks can be lost with their
worker and with the owner, while a run of the later step is left.
"""

from __future__ import annotations

from .models import StepRun


def find_incomplete(step: StepRun) -> list[StepRun]:
    """Return the incomplete steps on which a step depends, earlier ones first.

    Long-running steps are left out, as their tasks are never done.
    """
    found: dict[int, StepRun] = {}
    checked = {step.number}
    pending = [step]
    while pending:
        later = pending.pop()
        if not later.blockers:
            continue
        for number in set(later.spec.after) - checked:
            checked.add(number)
            earlier = later.job.steps[(later.occurrence, number)]
            if earlier.spec.long_running:
                continue
            pending.append(earlier)
            if not earlier.complete:
                found[number] = earlier
    return [found[number] for number in sorted(found)]


def has_run(step: StepRun) -> bool:
    """Return whether stored progress shows that tasks of a step have run."""
    return bool(step.done or step.stateful)
