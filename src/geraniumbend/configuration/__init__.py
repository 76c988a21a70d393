"""Configuration replicated by the control hosts and distributed to gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend._public_names import import_on_use

if TYPE_CHECKING:
    from geraniumbend.configuration._documents import describe, parse
    from geraniumbend.configuration._follower import ConfigurationFollower
    from geraniumbend.configuration._keys import digest_keys, replace_keys
    from geraniumbend.configuration._notifier import Notifier
    from geraniumbend.configuration._operations import (
        DeleteGroup,
        DeleteRule,
        DeleteTenant,
        Operation,
        RemoveLabels,
        SetGeneral,
        SetGroup,
        SetLabels,
        SetRule,
        SetTenant,
        apply_operations,
        describe_configuration,
        describe_operation,
        operation_kinds,
        parse_configuration,
        parse_operation,
        perform_operations,
    )
    from geraniumbend.configuration._operator_files import (
        FileContent,
        describe_diff,
        parse_document,
        parse_file,
        plan_operations,
        write_file,
    )
    from geraniumbend.configuration._review import (
        Review,
        review_document,
        review_replacement,
    )
    from geraniumbend.configuration._review_checks import Finding
    from geraniumbend.configuration._service import (
        ChangeConflictError,
        ChangeOutcome,
        ConfigurationService,
    )
    from geraniumbend.configuration._store import ConfigurationStore, HistoryEntry
    from geraniumbend.configuration._validation import validate_operations
    from geraniumbend.configuration._view import ConfigurationView
else:
    __getattr__ = import_on_use(
        __name__,
        {
            "_documents": (
                "describe",
                "parse",
            ),
            "_follower": ("ConfigurationFollower",),
            "_keys": (
                "digest_keys",
                "replace_keys",
            ),
            "_notifier": ("Notifier",),
            "_operations": (
                "DeleteGroup",
                "DeleteRule",
                "DeleteTenant",
                "Operation",
                "RemoveLabels",
                "SetGeneral",
                "SetGroup",
                "SetLabels",
                "SetRule",
                "SetTenant",
                "apply_operations",
                "describe_configuration",
                "describe_operation",
                "operation_kinds",
                "parse_configuration",
                "parse_operation",
                "perform_operations",
            ),
            "_operator_files": (
                "FileContent",
                "describe_diff",
                "parse_document",
                "parse_file",
                "plan_operations",
                "write_file",
            ),
            "_review": (
                "Review",
                "review_document",
                "review_replacement",
            ),
            "_review_checks": ("Finding",),
            "_service": (
                "ChangeConflictError",
                "ChangeOutcome",
                "ConfigurationService",
            ),
            "_store": (
                "ConfigurationStore",
                "HistoryEntry",
            ),
            "_validation": ("validate_operations",),
            "_view": ("ConfigurationView",),
        },
    )

__all__ = [
    "ChangeConflictError",
    "ChangeOutcome",
    "ConfigurationFollower",
    "ConfigurationService",
    "ConfigurationStore",
    "ConfigurationView",
    "DeleteGroup",
    "DeleteRule",
    "DeleteTenant",
    "FileContent",
    "Finding",
    "HistoryEntry",
    "Operation",
    "RemoveLabels",
    "Review",
    "SetGeneral",
    "SetGroup",
    "SetLabels",
    "SetRule",
    "SetTenant",
    "Notifier",
    "apply_operations",
    "describe",
    "describe_configuration",
    "describe_diff",
    "describe_operation",
    "digest_keys",
    "operation_kinds",
    "parse",
    "parse_configuration",
    "parse_document",
    "parse_file",
    "parse_operation",
    "perform_operations",
    "plan_operations",
    "replace_keys",
    "review_document",
    "review_replacement",
    "validate_operations",
    "write_file",
]
