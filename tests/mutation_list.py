"""Mutations of the source, each with the tests that ought to catch it."""

from tests.mutations import Mutation

GUARANTEES = "features/guarantees/"

MUTATIONS = (
    Mutation(
        "mix versions",
        "routing/coverage.py",
        "if reply.version != version:",
        "if False:",
        (GUARANTEES + "one_snapshot.feature", "tests/routing/test_query_execution.py"),
    ),
    Mutation(
        "count a reply with another identity",
        "routing/coverage.py",
        "if reply.server_id != server_id:",
        "if False:",
        (
            GUARANTEES + "own_responses.feature",
            "tests/routing/test_query_execution.py",
            "tests/routing/test_reply_checks.py",
        ),
    ),
    Mutation(
        "let another server's reply end a request",
        "routing/queries.py",
        "if reply.server_id != attempt.view.record.server_id:",
        "if False:",
        ("tests/routing/test_query_execution.py",),
    ),
    Mutation(
        "count a truncated reply as whole",
        "routing/coverage.py",
        "return Code.SHARD_TRUNCATED",
        "return Code.OK",
        (GUARANTEES + "true_coverage.feature", "tests/routing/test_query_execution.py"),
    ),
    Mutation(
        "skip the sync of the log",
        "consensus/segments.py",
        "    fs.sync(segment.name)\n    segment",
        "    segment",
        (GUARANTEES + "configuration.feature", "tests/consensus/test_storage.py"),
    ),
    Mutation(
        "grant beyond the slots",
        "homes/dispatching.py",
        "used < compute_capacity(entry)",
        "used <= compute_capacity(entry)",
        (GUARANTEES + "cold_servers.feature",),
    ),
    Mutation(
        "skip the ramp",
        "homes/server_entries.py",
        "Ramp(announcement.slots, last_change_at=now)",
        "Ramp(announcement.slots, announcement.slots, last_change_at=now)",
        (GUARANTEES + "cold_servers.feature",),
    ),
    Mutation(
        "retry a submission that may have run",
        "routing/submissions.py",
        "if reply.outcome is not Outcome.NOT_RUN:",
        "if reply.outcome is Outcome.DONE:",
        (GUARANTEES + "at_most_once.feature",),
    ),
    Mutation(
        "dispatch before the claim is granted",
        "routing/submissions.py",
        "if result.is_granted:",
        "if True:",
        (GUARANTEES + "at_most_once.feature",),
    ),
    Mutation(
        "dispatch when the claim's reply is lost",
        "routing/submissions.py",
        "            may_be_recorded = True\n            if",
        "            return None\n            if",
        (GUARANTEES + "not_run.feature", "tests/routing/test_submissions.py"),
    ),
    Mutation(
        "ignore the end of authority",
        "homes/registrations.py",
        "registered.dispatch_after <= now < registered.authority_until",
        "registered.dispatch_after <= now",
        (
            "tests/homes/test_exclusive_homes.py",
            "tests/homes/test_registrations.py",
            "tests/homes/test_dispatch.py",
        ),
    ),
    Mutation(
        "let attempts outlive the authority",
        "homes/dispatching.py",
        "timeout_s = min(work.deadline - now, authority_s)",
        "timeout_s = work.deadline - now",
        ("tests/homes/test_exclusive_homes.py", "tests/homes/test_dispatch.py"),
    ),
    Mutation(
        "renew authority from a replayed token",
        "homes/registrations.py",
        "max(current.authority_until, lease.stamp_s + AUTHORITY_S)",
        "now + AUTHORITY_S",
        (
            "tests/homes/test_exclusive_homes.py",
            "tests/homes/test_registrations.py",
        ),
    ),
    Mutation(
        "skip the wait for the old home's authority",
        "homes/registrations.py",
        "AUTHORITY_WAIT_S if needs_wait else 0.0",
        "0.0",
        ("tests/homes/test_exclusive_homes.py",),
    ),
    Mutation(
        "let a data centre that is out get work at its homes",
        "homes/refusals.py",
        "state.board.identity.data_centre in config.data_centres_out",
        "False",
        (GUARANTEES + "data_centre_out.feature", "tests/homes/test_dispatch.py"),
    ),
    Mutation(
        "let a draining server get work",
        "homes/refusals.py",
        " or registered.announcement.state is ServerState.DRAINING",
        "",
        (
            GUARANTEES + "closed_servers.feature",
            "tests/homes/test_dispatch.py",
            "tests/homes/test_registrations.py",
        ),
    ),
    Mutation(
        "let a stale home serve other data centres",
        "homes/refusals.py",
        "if has_stale_remote_sender and has_stale_config(state, now):",
        "if False:",
        ("tests/homes/test_dispatch.py", "tests/homes/test_registrations.py"),
    ),
    Mutation(
        "let an older revision replace a newer one",
        "dissemination/store.py",
        "if state.revision < revision or (",
        "if (",
        ("tests/dissemination/test_store.py",),
    ),
    Mutation(
        "let an equal generation win",
        "control/configuration.py",
        "if manifest.generation <= get_generation(cfg.state):",
        "if manifest.generation < get_generation(cfg.state):",
        (GUARANTEES + "configuration.feature",),
    ),
    Mutation(
        "skip the stickiness of pre-votes",
        "consensus/elections.py",
        "return now - last_contact_at < ELECTION_MIN_S",
        "return False",
        (
            "tests/consensus/test_core.py",
            "tests/consensus/test_replicated_log.py",
        ),
    ),
    Mutation(
        "stop without handing homes over",
        "homes/handovers.py",
        "if isinstance(renewed, Err) or not state.is_leaving:",
        "if True:",
        (GUARANTEES + "planned_stops.feature", "tests/homes/test_exclusive_homes.py"),
    ),
)
