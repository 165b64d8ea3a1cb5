"""Names that the platform gives to what it sends and takes."""

from __future__ import annotations

# Headers, in the lower case in which requests and responses are read.
REQUEST_ID = "attempt-id"
DEADLINE_MS = "deadline-milliseconds"
SEAL = "server-seal"
EXPECTED_TARGET = "expected-instance"
# Running, waiting and slots; a fourth figure says in per cent how long
# work takes at this moment.
LOAD = "server-load"
NOT_RUN = "not-executed"
# Names the service beside the daemon where a request began.
ORIGIN_SERVICE = "calling-service"
KEY = "shard-key"
HANDOVER = "handover"
CONTENT_ENCODING = "content-encoding"

# Topic of the operators' documents, and the documents' keys in it.
OPERATOR_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"
