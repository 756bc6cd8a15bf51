"""Says in a sentence why admission held or refused a request, from its log line."""

from __future__ import annotations

from collections.abc import Mapping

_CAUSES = {
    "no_room_before_deadline": "the wait and the work end after its deadline",
    "yields_to_more_urgent": "more urgent requests would be late behind it",
    "no_room_in_time": "it would miss its target latency and can still come back",
    "returned_before_slot": "it came back before the time that it was told",
    "instance_late": "the event loop or the link of this instance is late",
    "shards_left_out": "some shards have no room in time, and the others suffice",
}

_ACTIONS = {"hold": "held", "refuse": "refused", "admit": "admitted in part"}


def explain_room(fields: Mapping[str, object]) -> str | None:
    """Returns why admission decided as it did, or None for other log lines.

    >>> explain_room({"reason": "instance_late", "facts": {"decision": "refuse"}})
    'refused: the event loop or the link of this instance is late'
    """
    facts = fields.get("facts")
    cause = _CAUSES.get(str(fields.get("reason")))
    if cause is None or not isinstance(facts, Mapping):
        return None
    sentence = f"{_ACTIONS.get(str(facts.get('decision')), 'decided')}: {cause}"
    room = facts.get("room")
    if isinstance(room, Mapping):
        sentence += (
            f"; believed wait {room.get('wait_ms')} ms, it could wait"
            f" {room.get('tolerable_ms')} ms; news {room.get('age_ms')} ms old with"
            f" trust {room.get('trust')}; {room.get('occupied')} calls at"
            f" {room.get('slots')} slots, {room.get('short_services')} services short"
        )
    if facts.get("urgent_priority") is not None:
        sentence += (
            f"; requests of priority {facts['urgent_priority']} could wait"
            f" {facts.get('urgent_tolerable_ms')} ms"
        )
    return sentence
