"""Draws the faults of a soak run from its seed."""

from __future__ import annotations

import collections.abc
import random

import attrs

# Seeds divisible by this number have planned operations only.
PLANNED_EVERY = 5
# Probability that a fault is followed by another of its kind.
REPEAT_PROBABILITY = 0.3
REPEAT_GAP_S = 0.4
DRAIN_S = 3.0
GARBAGE_BYTES = 40
REGISTRY_FAULTS = (
    "kill",
    "pause",
    "terminate",
    "cut",
    "cut_outgoing",
    "cut_incoming",
    "torn_tail",
    "full_disk",
    "reset",
    "silence",
    "delay",
)
GATEWAY_FAULTS = ("kill", "pause", "terminate", "reset", "silence", "delay")
TARGET_FAULTS = ("target_crash", "target_drain", "target_fails", "target_cut")
SITE_FAULTS = ("kill_all", "list", "weights", "storm_of_changes")
# Changes of what is in force.
SITE_CHANGES = ("weights", "storm_of_changes")
PLANNED = ("terminate", "target_drain", "weights", "storm_of_changes")
# Every seed has one target that names a limit, which callers must not notice.
LIMIT = "target_limit"
# Every seed has one evacuation of a data centre.
EVACUATION = "evacuation"
EVACUATION_S = 5.0
ALWAYS = (LIMIT, EVACUATION)
# Drawn apart from the others; each needs targets that are processes.
TARGET_PROCESS_FAULTS = (
    "target_stop",
    "target_stop_reset",
    "target_restart",
    "target_stall",
    "target_refuse",
    "target_leave",
    "target_reset",
)
SIGNAL_FAULTS = ("hang_up", "early_signal", "late_signal", "reset_ports")
ODD_LIST = "odd_list"
PROCESS_FAULTS = (*TARGET_PROCESS_FAULTS, *SIGNAL_FAULTS, ODD_LIST)
PROCESS_FAULTS_PER_S = 0.8
MAX_STOP_S = 5.0
# Cores are busy beside these seeds, and those have more gateways.
BUSY = "busy"
BUSY_REMAINDERS = (1, 5)
MANY_GATEWAYS_REMAINDERS = (4, 5)
REMAINDER_OF = 8
# Of the seeds without planned work, these only pause gateways, for so long that
# requests come more than two seconds after a change that the gateway missed.
PAUSES_REMAINDER = 0
PAUSES_S = (2.6, 4.5)
PAUSES_GAP_S = 1.0
EVACUATED = "there"
LIMIT_S = 9.0
PLAIN = "plain"
MAX_LIMIT_START_S = 2.0
MAX_LIMIT_PER_S = 1.0


@attrs.frozen
class Fault:
    """One fault of a plan.

    Attributes:
      kind: Kind of the fault, which names the method that injects it.
      subject: Affected process; empty for faults of targets or the site.
      start_s: Start in seconds after the start of the plan.
      duration_s: Duration in seconds.
      strength: From 0 to 1; the meaning depends on the kind.
    """

    kind: str
    subject: str
    start_s: float
    duration_s: float
    strength: float


def draw_plan(
    seed: int,
    registries: collections.abc.Sequence[str],
    gateways: collections.abc.Sequence[str],
    total_s: float,
) -> list[Fault]:
    """Returns the faults of a seed, ordered by start."""
    if has_pauses_alone(seed):
        plan = _draw_pauses(seed, gateways, total_s)
    else:
        plan = _draw_faults(seed, registries, gateways, total_s)
    plan += _draw_always(seed)
    return sorted(plan, key=lambda fault: fault.start_s)


def _draw_faults(
    seed: int,
    registries: collections.abc.Sequence[str],
    gateways: collections.abc.Sequence[str],
    total_s: float,
) -> list[Fault]:
    rng = random.Random(seed)
    planned_only = seed % PLANNED_EVERY == 0
    plan: list[Fault] = []
    while not plan or plan[-1].start_s < total_s:
        previous_s = plan[-1].start_s if plan else 0.0
        start_s = previous_s + rng.expovariate(1.0)
        kind, subject = _draw_kind(rng, registries, gateways, planned_only)
        duration_s = rng.choice((0.2, 0.8, 2.0, 3.5)) * rng.uniform(0.7, 1.3)
        count = 1
        while rng.random() < REPEAT_PROBABILITY:
            count += 1
        for number in range(count):
            plan.append(
                Fault(
                    kind,
                    subject,
                    start_s + number * REPEAT_GAP_S,
                    duration_s,
                    rng.random(),
                )
            )
    if not planned_only:
        # The site tolerates the loss of one disk, so at most one is lost.
        lost_disk = Fault("lose_disk", rng.choice(registries), 0.0, 0.5, 0.0)
        plan.append(attrs.evolve(lost_disk, start_s=rng.uniform(0, total_s)))
    # Drawn apart, so that the other faults of a seed stay as they were.
    if not planned_only:
        plan += _draw_process_faults(seed, registries, gateways, total_s)
    return plan


def _draw_always(seed: int) -> list[Fault]:
    """Returns the faults that every seed has."""
    plan = []
    apart = random.Random(f"{seed}/{LIMIT}")
    start_s = apart.uniform(0, MAX_LIMIT_START_S)
    plan.append(Fault(LIMIT, "", start_s, LIMIT_S, apart.random()))
    apart = random.Random(f"{seed}/{EVACUATION}")
    start_s = apart.uniform(0, MAX_LIMIT_START_S)
    plan.append(Fault(EVACUATION, "", start_s, EVACUATION_S, 0.0))
    return plan


def _draw_process_faults(
    seed: int,
    registries: collections.abc.Sequence[str],
    gateways: collections.abc.Sequence[str],
    total_s: float,
) -> list[Fault]:
    rng = random.Random(f"{seed}/processes")
    drawn = []
    start_s = rng.expovariate(PROCESS_FAULTS_PER_S)
    while start_s < total_s:
        kinds = rng.choice((TARGET_PROCESS_FAULTS,) * 2 + (SIGNAL_FAULTS,))
        kind = rng.choice(kinds)
        if rng.random() < 0.1:
            kind = ODD_LIST
        subject = ""
        if kind in SIGNAL_FAULTS:
            subject = rng.choice((*registries, *gateways))
        duration_s = rng.choice((0.1, 0.4, 1.0, 2.0, MAX_STOP_S))
        drawn.append(Fault(kind, subject, start_s, duration_s, rng.random()))
        start_s += rng.expovariate(PROCESS_FAULTS_PER_S)
    return drawn


def _draw_pauses(
    seed: int, gateways: collections.abc.Sequence[str], total_s: float
) -> list[Fault]:
    rng = random.Random(f"{seed}/pauses")
    drawn = []
    start_s = rng.uniform(0, PAUSES_GAP_S)
    while start_s < total_s:
        duration_s = rng.uniform(*PAUSES_S)
        drawn.append(
            Fault("pause", rng.choice(gateways), start_s, duration_s, 0.0)
        )
        start_s += duration_s + rng.uniform(0, PAUSES_GAP_S)
    return drawn


def has_pauses_alone(seed: int) -> bool:
    """Returns whether a seed only pauses gateways."""
    is_planned = seed % PLANNED_EVERY == 0
    return seed % REMAINDER_OF == PAUSES_REMAINDER and not is_planned


def is_busy(seed: int) -> bool:
    """Returns whether cores are busy beside a seed."""
    return seed % REMAINDER_OF in BUSY_REMAINDERS


def has_many_gateways(seed: int) -> bool:
    """Returns whether a seed has more gateways than others."""
    return seed % REMAINDER_OF in MANY_GATEWAYS_REMAINDERS


def _draw_kind(
    rng: random.Random,
    registries: collections.abc.Sequence[str],
    gateways: collections.abc.Sequence[str],
    planned_only: bool,
) -> tuple[str, str]:
    if planned_only:
        kind = rng.choice(PLANNED)
        subject = ""
        if kind == "terminate":
            subject = rng.choice((*registries, *gateways))
        return kind, subject
    selector = rng.random()
    if selector < 0.4:
        return rng.choice(REGISTRY_FAULTS), rng.choice(registries)
    if selector < 0.7:
        return rng.choice(GATEWAY_FAULTS), rng.choice(gateways)
    if selector < 0.9:
        return rng.choice(TARGET_FAULTS), ""
    return rng.choice(SITE_FAULTS), ""
