"""Adapter to the users' platform: its settings file, store, objects and headers.

The platform's names of fields and headers are translated here into the project's types;
no other package uses them.
"""

from sesameknot.platform._addresses import is_address
from sesameknot.platform._configuration_reader import (
    ReadConfiguration,
    read_configuration,
)
from sesameknot.platform._endpoint_notices import EndpointNotices
from sesameknot.platform._handover_headers import (
    UNREACHABLE_HEADER,
    handover_refused_as_unreachable,
    headers_for_host,
    parse_run_count,
)
from sesameknot.platform._headers import (
    AnswerMetadata,
    AttemptMetadata,
    PromptPart,
    RequestMetadata,
    headers_for_caller,
    headers_for_endpoint,
    parse_answer_metadata,
    parse_request_metadata,
)
from sesameknot.platform._node_file import NODE_FILE_VARIABLE, load_host_settings
from sesameknot.platform._objects import (
    CONFIGURATION_KIND,
    CRASH_KIND,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    HOST_KIND,
    ROLLOUT_KIND,
    EntryError,
    decode_configuration,
    decode_crash_report,
    decode_endpoint,
    decode_host,
    decode_rollout,
    encode_crash_report,
    encode_host,
    encode_rollout_progress,
)
from sesameknot.platform._store import (
    EntryBatch,
    EntryConflictError,
    StoreClient,
    StoredEntry,
)
from sesameknot.platform._struct_faults import ValueFault

READY_PATH = "/sesameknot/readyz"

__all__ = [
    "CONFIGURATION_KIND",
    "CRASH_KIND",
    "ENDPOINT_KIND",
    "EVACUATION_KIND",
    "HOST_KIND",
    "NODE_FILE_VARIABLE",
    "READY_PATH",
    "ROLLOUT_KIND",
    "UNREACHABLE_HEADER",
    "AnswerMetadata",
    "AttemptMetadata",
    "EndpointNotices",
    "EntryBatch",
    "EntryConflictError",
    "EntryError",
    "PromptPart",
    "ReadConfiguration",
    "RequestMetadata",
    "StoreClient",
    "StoredEntry",
    "ValueFault",
    "decode_configuration",
    "decode_crash_report",
    "decode_endpoint",
    "decode_host",
    "decode_rollout",
    "encode_crash_report",
    "encode_host",
    "encode_rollout_progress",
    "handover_refused_as_unreachable",
    "headers_for_caller",
    "headers_for_endpoint",
    "headers_for_host",
    "is_address",
    "load_host_settings",
    "parse_answer_metadata",
    "parse_request_metadata",
    "parse_run_count",
    "read_configuration",
]
