"""Names of the platform's headers, paths, tables and environment variables."""

REQUEST_ID = "X-Sequoiafall-Attempt-Id"
DEADLINE_MS = "X-Sequoiafall-Deadline-Ms"
MODEL = "X-Sequoiafall-Model"
TOKENS = "X-Sequoiafall-Token-Usage"
PROMPT_PARTS = "X-Sequoiafall-Prompt-Prefix"
LENGTH_HINT = "X-Sequoiafall-Length-Hint"
LAST_EVENT = "Last-Event-Id"
# The caller's attempt that brought the first event of the stream that it takes up.
RESUMES = "Resumes"

# Headers that the system sets; those that a caller sends are dropped.
EXPECTED_SERVER = "X-Sequoiafall-Expected-Instance"
EXPECTED_VERSION = "X-Sequoiafall-Expected-Version"
ORGANISATION = "X-Sequoiafall-Tenant"
PRIORITY = "X-Sequoiafall-Request-Priority"
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        EXPECTED_SERVER,
        EXPECTED_VERSION,
        ORGANISATION,
        PRIORITY,
        DEADLINE_MS,
        "Authorization",
        "X-Sequoiafall-Hold",
        "X-Sequoiafall-Pin-Ms",
        "X-Sequoiafall-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        "X-Sequoiafall-Kv-From",
        "X-Sequoiafall-Kv-Fetch",
        "Wait-Ms",
    )
)
# Forwarded even if the `Connection` header of the request lists them.
REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID, MODEL, TOKENS, PROMPT_PARTS, LENGTH_HINT, LAST_EVENT)
)

# Headers of responses from backend servers.
NOT_RUN = "X-Sequoiafall-Not-Executed"
SIGNATURE = "X-Sequoiafall-Response-Signature"
# Name of the server, in its response to a health check.
SERVER_ID = "X-Sequoiafall-Instance-Id"
# `1` in every response of a server that accepts no new work.
LEAVING = "Server-Leaving"
# In a response with status 503: seconds for which the server wants no requests from
# this instance.
RETRY_AFTER = "Retry-After"
# Decimal number of requests per second that the server takes from all instances
# together; absent if it has no limit.
LIMIT = "Server-Limit"

# In every response of the store: grows by one each time that the store comes back from
# an older copy.
STORE_ERA = "Store-Era"

DIRECTORY_PATH = "/sequoiafall/resolve"
READY_PATH = "/sequoiafall/readyz"
REPORT_PATH = "/sequoiafall/report"
ORDER_PATH = "/sequoiafall/order"
TRANSACTION_PATH = "/sequoiafall/rows-tx"
ROWS_PATH = "/sequoiafall/rows-get"
FEED_PATH = "/sequoiafall/rows-feed"

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
BACKEND_TABLE = "servers"

SETTINGS_VARIABLE = "SEQUOIAFALL_NODE_FILE"
