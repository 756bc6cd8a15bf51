"""Errors that all subpackages share."""

from __future__ import annotations

import msgspec

from skylarkcart.verdict import RunVerdict

# Errors that a decoder raises for data of another process. Decoders are recursive, so
# that deeply nested data raises RecursionError. Integers with thousands of digits raise
# ValueError.
DECODING_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)


class SkylarkcartError(Exception):
    """Base class of the errors raised by this package."""


class InvalidValueError(SkylarkcartError):
    """An input value is invalid.

    Args:
        where: location of the value, such as a file and field.
        value: the invalid value.
        expected: description of a valid value.
    """

    def __init__(self, *, where: str, value: object, expected: str) -> None:
        super().__init__(f"{where}: got {value!r}, expected {expected}")
        self.where = where
        self.value = value
        self.expected = expected


class RequestRefusedError(SkylarkcartError):
    """A request was refused or failed, so that its caller gets no result.

    Args:
        code: short machine-readable reason, such as ``rate_exceeded``.
        detail: description of the reason for logs and error messages.
        status: HTTP status for the caller.
        verdict: whether the request may have run.
        retry_after_ms: time after which the caller may retry, or None.
    """

    def __init__(
        self,
        *,
        code: str,
        detail: str,
        status: int,
        verdict: RunVerdict,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.status = status
        self.verdict = verdict
        self.retry_after_ms = retry_after_ms
