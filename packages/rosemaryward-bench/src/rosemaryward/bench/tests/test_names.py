"""Checks external names against the list in `docs/reference/names.txt`."""

import re
from pathlib import Path

import cappa
import pytest

from rosemaryward.bench import capacity as bench_capacity
from rosemaryward.bench import floods as bench_floods
from rosemaryward.bench.__main__ import Bench
from rosemaryward.bench.demo import phases as bench_phases
from rosemaryward.bench.experiment import result as bench_result
from rosemaryward.bench.experiment import scenario as bench_scenario
from rosemaryward.bench.history import checker as bench_checker
from rosemaryward.bench.history import operations as bench_operations
from rosemaryward.bench.hosts import app as bench_app
from rosemaryward.bench.instance import log as bench_log
from rosemaryward.bench.launch import state as bench_state
from rosemaryward.bench.load import callers as bench_callers
from rosemaryward.bench.load import measures as bench_measures
from rosemaryward.bench.overhead import measures as bench_overhead_measures
from rosemaryward.bench.relay import forwarder as bench_forwarder
from rosemaryward.bench.relay import network as bench_network
from rosemaryward.bench.store import faults as bench_faults
from rosemaryward.bench.summary import rows as bench_rows
from rosemaryward.decisions import interfaces as decisions_interfaces
from rosemaryward.decisions import messages as decisions_messages
from rosemaryward.decisions import types as decisions_types
from rosemaryward.decisions.admission import sections as decisions_sections
from rosemaryward.decisions.document import changes as decisions_changes
from rosemaryward.decisions.document import checks as decisions_checks
from rosemaryward.decisions.document import schema as decisions_schema
from rosemaryward.decisions.document import stored as decisions_stored
from rosemaryward.decisions.gateway import outcomes as decisions_outcomes
from rosemaryward.decisions.gateway import statements as decisions_statements
from rosemaryward.decisions.leadership import failover_lock as decisions_failover_lock
from rosemaryward.decisions.leadership import members as decisions_members
from rosemaryward.decisions.leadership import records as decisions_records
from rosemaryward.decisions.leadership import replica_sets as decisions_replica_sets
from rosemaryward.decisions.membership import delta as decisions_delta
from rosemaryward.decisions.mirror import follower as decisions_follower
from rosemaryward.decisions.mirror import store as decisions_store
from rosemaryward.decisions.relays import messages as decisions_relays_messages
from rosemaryward.etcd import wire as etcd_wire
from rosemaryward.operators import audit as operators_audit
from rosemaryward.operators import configuration as operators_configuration
from rosemaryward.operators import replies as operators_replies
from rosemaryward.operators import snapshot as operators_snapshot
from rosemaryward.operators import tokens as operators_tokens
from rosemaryward.operators import view as operators_view
from rosemaryward.operators.cli import Rosemaryward
from rosemaryward.operators.metrics import ProxyMetrics
from rosemaryward.platform import configuration as platform_configuration
from rosemaryward.platform import settings as platform_settings
from rosemaryward.platform import store as platform_store
from rosemaryward.platform import tenants as platform_tenants
from rosemaryward.proxy.settings import ProxySettings

NAMES = Path(__file__).parents[6] / "docs" / "reference" / "names.txt"

STRUCTS = [
    (
        "Array message of relays, tag run, fields by position",
        decisions_relays_messages.RunRequest,
    ),
    (
        "Array message of relays, tag begin, fields by position",
        decisions_relays_messages.BeginRequest,
    ),
    (
        "Array message of relays, tag leased, fields by position",
        decisions_relays_messages.LeasedRequest,
    ),
    (
        "Array message of relays, tag roll_back, fields by position",
        decisions_relays_messages.RollBackRequest,
    ),
    (
        "Array message of relays, tag close, fields by position",
        decisions_relays_messages.CloseRequest,
    ),
    (
        "Array message of relays, tag ping, fields by position",
        decisions_relays_messages.Ping,
    ),
    (
        "Array message of relays, tag answered, fields by position",
        decisions_relays_messages.Answered,
    ),
    (
        "Array message of relays, tag refused, fields by position",
        decisions_relays_messages.Refused,
    ),
    (
        "Array message of relays, tag unanswered, fields by position",
        decisions_relays_messages.Unanswered,
    ),
    (
        "Array message of relays, tag pong, fields by position",
        decisions_relays_messages.Pong,
    ),
    (
        "Array message of relays, tag leaving, fields by position",
        decisions_relays_messages.Leaving,
    ),
    (
        "Array message of statements, tag x, fields by position",
        decisions_messages.Execute,
    ),
    (
        "Array message of statements, tag e, fields by position",
        decisions_messages.EndTransaction,
    ),
    (
        "Array message of statements, tag r, fields by position",
        decisions_messages.ReachabilityRequest,
    ),
    (
        "Array message of statements, tag g, fields by position",
        decisions_messages.DrainRequest,
    ),
    (
        "Array message of statements, tag d, fields by position",
        decisions_messages.StatementResult,
    ),
    (
        "Array message of statements, tag n, fields by position",
        decisions_messages.NotRun,
    ),
    (
        "Array message of statements, tag u, fields by position",
        decisions_messages.OutcomeUnknown,
    ),
    (
        "Array message of statements, tag f, fields by position",
        decisions_messages.StatementFailed,
    ),
    (
        "Array message of statements, tag s, fields by position",
        decisions_messages.ReachabilityReply,
    ),
    ("Array message of gossip, tag p, fields by position", decisions_messages.Probe),
    (
        "Array message of gossip, tag q, fields by position",
        decisions_messages.IndirectProbe,
    ),
    ("Array message of gossip, tag a, fields by position", decisions_messages.ProbeAck),
    ("Array message of gossip, tag l, fields by position", decisions_messages.Pull),
    (
        "Array message of gossip, tag m, fields by position",
        decisions_messages.PullReply,
    ),
    ("Array message of delta, tag c, fields by position", decisions_delta._Copy),
    ("Array message of delta, tag l, fields by position", decisions_delta._Literal),
    ("Array in messages: a column, fields by position", decisions_messages.Column),
    ("Array in messages: a member, fields by position", decisions_messages.Member),
    (
        "Array in messages: a primary's record, fields by position",
        decisions_messages.PrimaryRecord,
    ),
    ("Array in messages: a digest, fields by position", decisions_messages.Digest),
    (
        "Array in messages: a log position, fields by position",
        decisions_types.LogPosition,
    ),
    ("Array in messages: a place, fields by position", decisions_types.Place),
    (
        "Array in messages: an endpoint's id, fields by position",
        decisions_types.EndpointId,
    ),
    ("Array in messages: a delta, fields by position", decisions_delta._Delta),
    ("Array in messages: an answer, fields by position", decisions_outcomes.Answer),
    (
        "Array in messages: a statement, fields by position",
        decisions_statements.Statement,
    ),
    (
        "Array in messages: a prepared statement, fields by position",
        decisions_statements.PreparedStatement,
    ),
    (
        "Array in messages: a ticket, fields by position",
        decisions_statements.AdmissionParameters,
    ),
    ("Message between members, tag fence", decisions_members.FenceRequest),
    ("Message between members, tag fenced", decisions_members.FenceReply),
    ("Message between members, tag reach", decisions_members.ReachabilityRequest),
    ("Message between members, tag reached", decisions_members.ReachabilityReply),
    ("Message between members, tag confirm", decisions_members.ConfirmationRequest),
    ("Message between members, tag confirmed", decisions_members.ConfirmationReply),
    ("Message between members, tag introduce", decisions_members.IntroductionRequest),
    ("Message between members, tag introduced", decisions_members.IntroductionReply),
    ("Message between members, tag release", decisions_members.ReleaseRequest),
    ("Message between members, tag released", decisions_members.ReleaseReply),
    ("Message between members, tag record", decisions_members.RecordNotice),
    ("Message between members, tag noted", decisions_members.RecordAck),
    ("Message between members, tag changes", decisions_follower.ChangesRequest),
    ("Message between members, tag changed", decisions_follower.ChangesReply),
    ("Fields: member in the store and in messages", decisions_members.MemberRecord),
    ("Fields: group in the store and in messages", decisions_records.GroupRecord),
    ("Fields: replica set in the store", decisions_replica_sets.ReplicaSetRecord),
    ("Fields: holder of the duty in the store", decisions_failover_lock.LockRecord),
    ("Fields: value in ChangesReply", decisions_store.StoredValue),
    ("Fields: document in the store", decisions_stored.StoredDocument),
    ("Fields: entry of the audit log in the store", operators_audit.AuditEntry),
    ("Fields: listed host", decisions_interfaces.ListedHost),
    ("Fields: entry of the token file", operators_tokens.TokenEntry),
    ("Fields: snapshot", operators_snapshot.Snapshot),
    ("Fields: item of a snapshot", operators_snapshot.SnapshotItem),
    ("Fields: document", decisions_schema.Document),
    ("Fields: database section", decisions_schema.DatabaseSection),
    ("Fields: instance section", decisions_schema.InstanceSection),
    ("Fields: tenant section", decisions_schema.TenantSection),
    ("Fields: user section", decisions_schema.UserSection),
    ("Fields: rule section", decisions_schema.RuleSection),
    ("Fields: tenant limits", decisions_sections.TenantLimits),
    ("Fields: rank section", decisions_sections.RankSection),
    ("Fields: etcd header", etcd_wire.Header),
    ("Fields: etcd key-value", etcd_wire.KeyValue),
    ("Fields: etcd range reply", etcd_wire.RangeReply),
    ("Fields: etcd operation reply", etcd_wire.OperationReply),
    ("Fields: etcd txn reply", etcd_wire.TxnReply),
    ("Fields: etcd watch event", etcd_wire.WatchEvent),
    ("Fields: etcd watch result", etcd_wire.WatchResult),
    ("Fields: etcd watch message", etcd_wire.WatchMessage),
    ("Fields: platform route", platform_configuration._Route),
    ("Fields: platform tenant", platform_tenants._Tenant),
    ("Fields: platform service", platform_configuration._Service),
    ("Fields: platform limits", platform_configuration._Limits),
    ("Fields: platform configuration", platform_configuration._Configuration),
    ("Fields: platform registration", platform_configuration._Registration),
    ("Fields: settings file: listen", platform_settings._Listen),
    ("Fields: settings file: bounds", platform_settings._Bounds),
    ("Fields: settings file: limits", platform_settings._Limits),
    ("Fields: settings file: platform", platform_settings._Platform),
    ("Fields: settings file: cloud_api", platform_settings._CloudApi),
    ("Fields: settings file", platform_settings._SettingsFile),
    ("Fields: platform store item", platform_store._Item),
    ("Fields: platform store page", platform_store._Page),
    ("Fields: platform store events", platform_store._Events),
    ("Fields: platform store revision", platform_store._Revision),
    ("Fields: platform store conflict", platform_store._Conflict),
    ("Fields: platform store lease", platform_store._Lease),
    (
        "Array in messages: instance's log: statement, fields by position",
        bench_log.Statement,
    ),
    (
        "Array in messages: instance's log: entry, fields by position",
        bench_log.LogEntry,
    ),
    ("Fields: relay API: node", bench_network.Node),
    ("Fields: relay API: settings", bench_network.NetworkSettings),
    ("Fields: relay API: fault", bench_network.Fault),
    ("Fields: relay API: route", bench_forwarder.Route),
    ("Fields: host list: behaviour", bench_app.Behaviour),
    ("Fields: store API: fault plan", bench_faults.FaultPlan),
    ("Fields: out/up.json", bench_state.RunningDeployment),
    ("Fields: out/up.json: proxy", bench_state.RunningProxy),
    ("Fields: out/up.json: endpoint", bench_state.RunningEndpoint),
    ("Fields: out/up.json: user", bench_state.RunningUser),
    ("Fields: out/history.jsonl", bench_operations.Operation),
    ("Fields: out/demo.json", bench_phases.DemoResult),
    ("Fields: history report", bench_checker.Report),
    ("Fields: history finding", bench_checker.Finding),
    ("Fields: rank service", bench_measures.RankService),
    ("Fields: bench row", bench_rows.BenchRow),
    ("Fields: overhead measure", bench_overhead_measures.Measure),
    ("Fields: flood report", bench_floods.FloodReport),
    ("Fields: flood measures", bench_floods.Measures),
    ("Fields: flood rank measures", bench_floods.RankMeasures),
    ("Fields: experiment result", bench_result.RunResult),
    ("Fields: experiment gap", bench_result.Gap),
    ("Fields: scenario", bench_scenario.Scenario),
    ("Fields: scenario: fault step", bench_scenario.FaultStep),
    ("Fields: scenario: flood", bench_scenario.FloodPlan),
    ("Fields: scenario: idle transactions", bench_scenario.IdleTransactions),
    ("Fields: scenario: load", bench_scenario.LoadPlan),
    ("Fields: scenario: mix", bench_callers.CallerMix),
    ("Fields: capacity: fleet", bench_capacity.FleetResult),
    ("Fields: capacity: socket", bench_capacity.SocketResult),
    ("Fields: capacity: ownership", bench_capacity.OwnershipResult),
    ("Administration API, schema ApplyRequest", operators_replies.ApplyRequest),
    ("Administration API, schema AuditReply", operators_replies.AuditReply),
    ("Administration API, schema CheckReply", operators_replies.CheckReply),
    ("Administration API, schema CheckRequest", operators_replies.CheckRequest),
    ("Administration API, schema ConfigReply", operators_replies.ConfigReply),
    ("Administration API, schema DiffReply", operators_replies.DiffReply),
    ("Administration API, schema DiffRequest", operators_replies.DiffRequest),
    ("Administration API, schema DrainReply", operators_replies.DrainReply),
    ("Administration API, schema ErrorBody", operators_replies.ErrorBody),
    ("Administration API, schema ErrorReply", operators_replies.ErrorReply),
    ("Administration API, schema HistoryReply", operators_replies.HistoryReply),
    ("Administration API, schema PromoteRequest", operators_replies.PromoteRequest),
    ("Administration API, schema RollbackRequest", operators_replies.RollbackRequest),
    ("Administration API, schema ProxyStatus", operators_view.ProxyStatus),
    ("Administration API, schema ProxyInfo", operators_view.ProxyInfo),
    ("Administration API, schema EndpointStatus", operators_view.EndpointStatus),
    ("Administration API, schema PrimaryStatus", operators_view.PrimaryStatus),
    ("Administration API, schema ExplainRequest", operators_view.ExplainRequest),
    ("Administration API, schema ExplainReply", operators_view.ExplainReply),
    ("Administration API, schema Candidate", operators_view.Candidate),
    ("Administration API, schema HistoryEntry", operators_configuration.HistoryEntry),
    ("Administration API, schema ImportReport", operators_snapshot.ImportReport),
    ("Administration API, schema Problem", decisions_checks.Problem),
    ("Administration API, schema DocumentChange", decisions_changes.DocumentChange),
]


def read_names(path):
    """Return the names under each heading of the list."""
    sections = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("# "):
            sections[line[2:]] = names = []
        elif line:
            names.append(line)
    return sections


def read_arguments(command):
    """Return the names of a command, its subcommands and their long flags."""
    names, flags = {command.real_name()}, set()
    for argument in command.arguments:
        if isinstance(argument, cappa.Subcommand):
            for option in argument.options.values():
                more_names, more_flags = read_arguments(option)
                names |= more_names
                flags |= more_flags
        else:
            flags.update(argument.long or [])
    return names, flags


SECTIONS = read_names(NAMES)


@pytest.mark.parametrize(("heading", "struct"), STRUCTS)
def test_struct_keeps_external_names(heading, struct):
    """Guards against a rename that changes a message, a file or stored data."""
    listed, config = SECTIONS[heading], struct.__struct_config__
    if config.array_like:
        assert len(struct.__struct_encode_fields__) == int(listed[0])
    else:
        assert list(struct.__struct_encode_fields__) == listed
    tag = re.search(r"tag (\w+)", heading)
    assert config.tag == (tag[1] if tag else None)


def test_commands_and_flags_keep_their_names():
    """Guards against a rename of a field that cappa turns into a command or a flag."""
    names, flags = set(), set()
    for root in (Rosemaryward, ProxySettings, Bench):
        command = cappa.collect(root, help=False, completion=False)
        more_names, more_flags = read_arguments(command)
        names |= more_names
        flags |= more_flags
    assert sorted(names) == SECTIONS["Commands"]
    assert sorted(flags) == SECTIONS["Flags"]


def test_metrics_keep_their_names():
    """Guards against a renamed metric, which would break operators' dashboards."""
    metrics = ProxyMetrics("host-1")
    assert sorted(c.name for c in metrics.registry.get_all()) == SECTIONS["Metrics"]
