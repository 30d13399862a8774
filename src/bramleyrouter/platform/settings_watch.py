"""Watch the settings file of a running daemon and apply its changes."""

from collections.abc import Callable
from dataclasses import dataclass

from absl import logging
from result import Err

from bramleyrouter.conf.fleet import FleetSettings
from bramleyrouter.daemons.signals import SIGHUP, SignalInbox, set_signal_callback
from bramleyrouter.platform.settings import (
    decode_settings,
    get_settings_path,
    read_content,
)
from bramleyrouter.telemetry.events import EventLog, record
from bramleyrouter.utils.tasks import BackgroundTasks, run_periodically, spawn

POLL_INTERVAL_S = 1.0
# Fields whose change doesn't call for a restart: the seeds are applied, and the first
# start is over.
APPLIED_FIELDS = frozenset({"seeds", "is_first_start"})


@dataclass
class _WatchState:
    """Hold the settings that apply and what was last read and reported.

    ``content`` is the file that was last handled to the end, none if there is none.
    """

    applied: FleetSettings
    content: bytes | None = None
    reported_reason: str = ""
    reported_fields: tuple[str, ...] = ()


def watch_settings(
    log: EventLog,
    tasks: BackgroundTasks,
    inbox: SignalInbox,
    cfg: FleetSettings,
    on_change: Callable[[FleetSettings], None],
) -> None:
    """Apply changes of the settings with ``on_change``, and all of them on SIGHUP.

    ``cfg`` are the settings with which the daemon was built; the file may have changed
    since they were read, and a signal that came before counts too. The file is compared
    as a whole, at once and then every second, as its time of modification can stay the
    same when it is written twice in a short time. A file that can't be read, or whose
    application fails, is logged once for each reason and tried again; the settings
    before stay in force.
    """
    path = get_settings_path()
    state = _WatchState(cfg)

    def report(reason: str) -> None:
        if reason != state.reported_reason:
            record(log, "daemon", "reload_failed", reason=reason)
            state.reported_reason = reason

    def report_start_only_fields(new: FleetSettings) -> None:
        fields = tuple(
            name
            for name in FleetSettings._fields
            if name not in APPLIED_FIELDS and getattr(new, name) != getattr(cfg, name)
        )
        if fields and fields != state.reported_fields:
            record(log, "daemon", "restart_needed", fields=fields)
        state.reported_fields = fields

    def apply(content: bytes, is_forced: bool) -> None:
        decoded = decode_settings(path, content)
        if isinstance(decoded, Err):
            report(str(decoded.err_value))
            return
        new = decoded.ok_value
        if is_forced or new != state.applied:
            on_change(new)
            record(log, "daemon", "reloaded", seeds=new.seeds)
        state.applied, state.reported_reason = new, ""
        report_start_only_fields(new)

    def reload(is_forced: bool) -> None:
        read = read_content(path)
        if isinstance(read, Err):
            state.content = None
            report(str(read.err_value))
            return
        content = read.ok_value
        if content == state.content and not is_forced:
            return
        state.content = None
        try:
            apply(content, is_forced)
        except Exception as exc:
            # A fault in one application must not end the watch; it is tried again.
            reason = f"{type(exc).__name__}: {exc}"
            if reason != state.reported_reason:
                logging.exception("daemon: the settings could not be applied.")
            report(reason)
            return
        state.content = content

    def reload_on_signal() -> None:
        state.reported_reason = ""
        reload(is_forced=True)

    set_signal_callback(inbox, SIGHUP, reload_on_signal)
    spawn(tasks, run_periodically(POLL_INTERVAL_S, lambda: reload(is_forced=False)))


def unwatch_settings(inbox: SignalInbox) -> None:
    """Apply no more settings on SIGHUP, as the daemon closes its connections."""
    set_signal_callback(inbox, SIGHUP, lambda: None)
