"""Names of the platform's headers, topics and document keys."""

from __future__ import annotations

# Headers, in lower case as in parsed requests and responses.
REQUEST_ID = "attempt-id"
DEADLINE_MS = "deadline-milliseconds"
SEAL = "server-seal"
EXPECTED_TARGET = "expected-instance"
# Comma-separated: running requests, waiting requests, slots and,
# optionally, the current processing time in per cent of the usual one.
LOAD = "server-load"
NOT_RUN = "not-executed"
# Requests per second, a decimal number, that the server takes from all
# daemons together; valid as long as its responses have it.
RATE_LIMIT = "server-limit"
# "1" while the server is about to stop.
LEAVING = "server-leaving"
# Service on the machine at which a request entered the system.
ORIGIN_SERVICE = "calling-service"
KEY = "shard-key"
HANDOVER = "handover"
# The client's key, and the name of the account that it belongs to.
AUTHORIZATION = "authorization"
ACCOUNT = "tenant"
CONTENT_ENCODING = "content-encoding"

# In each response of the store; increases when the store is restored
# from an older copy and has lost acknowledged writes.
STORE_GENERATION = "store-era"

# Topic of the operators' documents, and their keys within it.
OPERATOR_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"
