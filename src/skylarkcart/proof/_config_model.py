"""Models of configuration revisions, checked with z3.

Each model states a property over symbolic values, and the solver searches for a
counterexample. It must find one in each model with an injected fault.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from functools import partial

import z3

from skylarkcart.invariants import Invariant
from skylarkcart.proof._config_types import Model, ModelOutcome

HISTORY_STEPS = 6
INSTANCE_COUNT = 2
ROW_COUNT = 3
PEER_COUNT = 2
SOLVER_TIMEOUT_MS = 60_000


class ModelFault(enum.Enum):
    """A rule of the program that a model omits or applies wrongly."""

    NONE = "correct"
    EQUAL_REVISION_ADOPTED = "equal-revision-adopted"
    OLDER_REVISION_ADOPTED = "older-revision-adopted"
    DIGEST_UNCHECKED = "digest-unchecked"
    READY_ON_FIRST_VALUE = "ready-on-first-value"
    READY_WHILE_BEHIND = "ready-while-behind"
    READY_WITHOUT_LIST = "ready-without-list"
    READY_WITHOUT_WAIT = "ready-without-wait"


def check_single_offer(fault: ModelFault) -> ModelOutcome:
    """Checks that an offer replaces the held revision only by a greater one.

    The held and the offered value are arbitrary, so the result applies to any number
    of offers in any order.
    """
    revision, content = z3.Ints("revision content")
    offered, offered_content = z3.Ints("offered offered_content")
    is_adopted = _is_adopted(fault, revision, offered)
    after = z3.If(is_adopted, offered, revision)
    after_content = z3.If(is_adopted, offered_content, content)
    unchanged = z3.And(after == revision, after_content == content)
    return _find_counterexample(z3.Not(z3.Or(after > revision, unchanged)))


def check_history(fault: ModelFault) -> ModelOutcome:
    """Checks that no process reverts a revision or changes its content.

    Covers all histories of ``HISTORY_STEPS`` steps. In each step the platform publishes
    a value, possibly a second content for the same revision by mistake, or an instance
    restarts, or an instance is offered a value that the platform published or an
    instance held in any earlier step. This covers stale reads and late, lost and
    duplicated messages.
    """
    states = [_SystemState(number) for number in range(HISTORY_STEPS + 1)]
    constraints = states[0].build_initial_constraints()
    violations = []
    for number in range(1, HISTORY_STEPS + 1):
        earlier_states = states[:number]
        previous, after = states[number - 1], states[number]
        transitions = [after.is_publication(previous)]
        for instance in range(INSTANCE_COUNT):
            transitions.append(after.is_restart(previous, instance))
            transitions.append(
                after.is_offer(previous, instance, earlier_states, fault)
            )
            violations.append(after.is_regression(previous, instance))
        constraints.append(z3.Or(transitions))
    return _find_counterexample(z3.And(*constraints, z3.Or(violations)))


class _SystemState:
    """Values of the platform and the instances after one step."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.published = z3.Int(f"published_{number}")
        self.published_content = z3.Int(f"published_content_{number}")
        self.revisions = _make_ints("revision", number)
        self.contents = _make_ints("content", number)
        self.processes = _make_ints("process", number)

    def build_initial_constraints(self) -> list[z3.BoolRef]:
        held = (*self.revisions, *self.contents, *self.processes)
        return [self.published == 1, *(value == 0 for value in held)]

    def is_publication(self, previous: _SystemState) -> z3.BoolRef:
        changes = self.published >= previous.published
        return z3.And(changes, *self._keeps_instances(previous, range(INSTANCE_COUNT)))

    def is_restart(self, previous: _SystemState, instance: int) -> z3.BoolRef:
        return z3.And(
            self._keeps_platform(previous),
            *self._keeps_instances(previous, _list_other_instances(instance)),
            self.revisions[instance] == 0,
            self.contents[instance] == 0,
            self.processes[instance] == previous.processes[instance] + 1,
        )

    def is_offer(
        self,
        previous: _SystemState,
        instance: int,
        earlier_states: list[_SystemState],
        fault: ModelFault,
    ) -> z3.BoolRef:
        offers = [
            (state.published, state.published_content) for state in earlier_states
        ]
        offers += [
            (state.revisions[sender], state.contents[sender])
            for state in earlier_states
            for sender in range(INSTANCE_COUNT)
        ]
        return z3.And(
            self._keeps_platform(previous),
            *self._keeps_instances(previous, _list_other_instances(instance)),
            self.processes[instance] == previous.processes[instance],
            z3.Or(
                [self._receives(previous, instance, *offer, fault) for offer in offers]
            ),
        )

    def is_regression(self, previous: _SystemState, instance: int) -> z3.BoolRef:
        is_same_process = self.processes[instance] == previous.processes[instance]
        revision, old = self.revisions[instance], previous.revisions[instance]
        is_content_changed = z3.And(
            revision == old, self.contents[instance] != previous.contents[instance]
        )
        return z3.And(is_same_process, z3.Or(revision < old, is_content_changed))

    def _receives(
        self,
        previous: _SystemState,
        instance: int,
        offered: z3.ArithRef,
        content: z3.ArithRef,
        fault: ModelFault,
    ) -> z3.BoolRef:
        is_adopted = z3.And(
            offered > 0, _is_adopted(fault, previous.revisions[instance], offered)
        )
        return z3.And(
            self.revisions[instance]
            == z3.If(is_adopted, offered, previous.revisions[instance]),
            self.contents[instance]
            == z3.If(is_adopted, content, previous.contents[instance]),
        )

    def _keeps_platform(self, previous: _SystemState) -> z3.BoolRef:
        return z3.And(
            self.published == previous.published,
            self.published_content == previous.published_content,
        )

    def _keeps_instances(self, previous: _SystemState, instances) -> list[z3.BoolRef]:
        return [
            new[instance] == old[instance]
            for instance in instances
            for new, old in (
                (self.revisions, previous.revisions),
                (self.contents, previous.contents),
                (self.processes, previous.processes),
            )
        ]


def check_delta(fault: ModelFault) -> ModelOutcome:
    """Checks that an adopted delta results in exactly the published rows.

    The receiver may hold different rows than the sender under the same revision, and
    the rows of the delta may arrive altered. The digest is modelled as equality of
    rows.
    """
    base, held, published, received = (
        [z3.Int(f"{name}_{row}") for row in range(ROW_COUNT)]
        for name in ("base", "held", "published", "received")
    )
    merged_rows = [
        z3.If(base[row] != published[row], received[row], held[row])
        for row in range(ROW_COUNT)
    ]
    is_equal = z3.And([merged_rows[row] == published[row] for row in range(ROW_COUNT)])
    is_adopted = z3.BoolVal(True) if fault is ModelFault.DIGEST_UNCHECKED else is_equal
    return _find_counterexample(z3.And(is_adopted, z3.Not(is_equal)))


def check_readiness(fault: ModelFault) -> ModelOutcome:
    """Checks that a ready instance is not behind any reachable settled peer.

    A reachable settled peer has held its revision since before the instance started.
    The model assumes that an instance list with this process also contains the peer,
    that the peer has been heard by the end of the wait, and that the revision it
    claimed is not older than the one it holds.
    """
    own_revision = z3.Int("own")
    has_waited, lists_self = z3.Bools("waited lists_self")
    peers = [_Peer(number) for number in range(PEER_COUNT)]
    assumptions = [peer.build_assumptions(has_waited, lists_self) for peer in peers]
    if fault is ModelFault.READY_WITHOUT_LIST:
        lists_self = z3.BoolVal(True)
    if fault is ModelFault.READY_WITHOUT_WAIT:
        has_waited = z3.BoolVal(True)
    is_newest = z3.And(
        [
            z3.Implies(peer.is_heard, own_revision >= peer.claimed_revision)
            for peer in peers
        ]
    )
    all_listed_heard = z3.And(
        [z3.Implies(peer.is_listed, peer.is_heard) for peer in peers]
    )
    any_settled_heard = z3.Or(
        [z3.And(peer.is_heard, peer.is_settled) for peer in peers]
    )
    may_settle = z3.Or(
        z3.And(lists_self, all_listed_heard), z3.And(has_waited, any_settled_heard)
    )
    if fault is ModelFault.READY_WHILE_BEHIND:
        is_newest = z3.BoolVal(True)
    if fault is ModelFault.READY_ON_FIRST_VALUE:
        may_settle = z3.BoolVal(True)
    is_ready = z3.And(own_revision > 0, is_newest, may_settle)
    is_behind = z3.Or(
        [z3.And(peer.is_reachable, own_revision < peer.revision) for peer in peers]
    )
    return _find_counterexample(z3.And(*assumptions, is_ready, is_behind))


class _Peer:
    """A peer, which may be settled, unreachable or newly started."""

    def __init__(self, number: int) -> None:
        self.revision = z3.Int(f"peer_{number}_revision")
        self.claimed_revision = z3.Int(f"peer_{number}_claimed")
        self.is_reachable = z3.Bool(f"peer_{number}_in_reach")
        self.is_settled = z3.Bool(f"peer_{number}_settled")
        self.is_heard = z3.Bool(f"peer_{number}_heard")
        self.is_listed = z3.Bool(f"peer_{number}_listed")

    def build_assumptions(
        self, has_waited: z3.BoolRef, lists_self: z3.BoolRef
    ) -> z3.BoolRef:
        return z3.And(
            self.revision > 0,
            self.claimed_revision >= 0,
            z3.Implies(self.is_reachable, self.is_settled),
            z3.Implies(z3.And(self.is_reachable, lists_self), self.is_listed),
            z3.Implies(z3.And(self.is_reachable, has_waited), self.is_heard),
            z3.Implies(
                z3.And(self.is_reachable, self.is_heard),
                self.claimed_revision >= self.revision,
            ),
        )


def _is_adopted(
    fault: ModelFault, revision: z3.ArithRef, offered: z3.ArithRef
) -> z3.BoolRef:
    if fault is ModelFault.EQUAL_REVISION_ADOPTED:
        return offered >= revision
    if fault is ModelFault.OLDER_REVISION_ADOPTED:
        return offered != revision
    return offered > revision


def _make_ints(name: str, number: int) -> list[z3.ArithRef]:
    return [z3.Int(f"{name}_{number}_of_{index}") for index in range(INSTANCE_COUNT)]


def _list_other_instances(instance: int) -> list[int]:
    return [other for other in range(INSTANCE_COUNT) if other != instance]


def _find_counterexample(violation: z3.BoolRef) -> ModelOutcome:
    """Searches for values that satisfy ``violation``.

    Raises:
        TimeoutError: the solver found no result within ``SOLVER_TIMEOUT_MS``.
    """
    solver = z3.Solver()
    solver.set("timeout", SOLVER_TIMEOUT_MS)
    solver.add(violation)
    result = solver.check()
    if result == z3.unknown:
        raise TimeoutError(
            f"z3: {solver.reason_unknown()} after {SOLVER_TIMEOUT_MS} ms"
        )
    if result == z3.unsat:
        return ModelOutcome(holds=True)
    assignment = solver.model()
    variables = sorted(assignment.decls(), key=lambda variable: variable.name())
    values = ", ".join(
        f"{variable.name()}={assignment[variable]}" for variable in variables
    )
    return ModelOutcome(holds=False, counterexample=values)


def _build_model(
    name: str, check: Callable[[ModelFault], ModelOutcome], fault: ModelFault
) -> Model:
    return Model(
        name=f"config-{name}-{fault.value}",
        invariant=Invariant.CONFIG_ADVANCES,
        expects_counterexample=fault is not ModelFault.NONE,
        check=partial(check, fault),
    )


_REVISION_FAULTS = (
    ModelFault.NONE,
    ModelFault.EQUAL_REVISION_ADOPTED,
    ModelFault.OLDER_REVISION_ADOPTED,
)
_READINESS_FAULTS = (
    ModelFault.NONE,
    ModelFault.READY_ON_FIRST_VALUE,
    ModelFault.READY_WHILE_BEHIND,
    ModelFault.READY_WITHOUT_LIST,
    ModelFault.READY_WITHOUT_WAIT,
)

MODELS = (
    *(_build_model("offer", check_single_offer, fault) for fault in _REVISION_FAULTS),
    *(_build_model("history", check_history, fault) for fault in _REVISION_FAULTS),
    _build_model("delta", check_delta, ModelFault.NONE),
    _build_model("delta", check_delta, ModelFault.DIGEST_UNCHECKED),
    *(_build_model("readiness", check_readiness, fault) for fault in _READINESS_FAULTS),
)
