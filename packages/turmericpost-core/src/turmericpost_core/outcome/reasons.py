"""Outcomes, refusal reasons and retry reasons as sent over the network."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Whether a call ran at a backend server, as far as known."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RefusalReason(Enum):
    """Why a call ends without the response of a backend server.

    ``CALLER_LIMIT`` means that callers hold too much of this VM's memory or that
    too many requests were sent ahead on a connection,
    ``TOO_DEEP`` means that the call has already passed too many VMs,
    ``STATE_BEHIND`` that its route may be in a configuration that other VMs have.
    """

    MALFORMED_REQUEST = 'malformed-request'
    HEADERS_TOO_LARGE = 'headers-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    SLOW_CALLER = 'slow-caller'
    CALLER_LIMIT = 'caller-limit'
    UPGRADE_UNSUPPORTED = 'upgrade-unsupported'
    TOO_DEEP = 'too-deep'
    NOT_READY = 'not-ready'
    STATE_BEHIND = 'state-behind'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_ACCOUNT = 'unknown-account'
    OUTSIDE_HOME_REGIONS = 'outside-home-regions'
    NO_ELIGIBLE_BACKEND = 'no-eligible-backend'
    QUEUE_FULL = 'queue-full'
    NO_FREE_SLOT = 'no-free-slot'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    RETRY_BUDGET_EMPTY = 'retry-budget-empty'
    SHED_BY_BACKEND = 'shed-by-backend'
    SERVER_ERROR = 'server-error'
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    TRUNCATED_ANSWER = 'truncated-answer'
    MALFORMED_ANSWER = 'malformed-answer'
    UNFRAMED_ANSWER = 'unframed-answer'
    KEY_REUSED = 'key-reused'
    KEY_TABLE_FULL = 'key-table-full'
    KEY_OWNER_LOST = 'key-owner-lost'
    KEY_ANSWER_NOT_KEPT = 'key-answer-not-kept'
    KEY_FIRST_RUN_UNKNOWN = 'key-first-run-unknown'
    KEY_TOO_OLD = 'key-too-old'
    KEY_CLAIM_UNAVAILABLE = 'key-claim-unavailable'
    KEY_NEEDS_PREFIX = 'key-needs-prefix'
    CALLER_GONE = 'caller-gone'


class RetryReason(Enum):
    """Why a call is retried at another backend server."""

    CONNECT_FAILED = 'connect-failed'
    SHED_BY_BACKEND = 'shed-by-backend'
    CONNECTION_LOST = 'connection-lost'
    TRUNCATED_ANSWER = 'truncated-answer'
    SERVER_ERROR = 'server-error'
