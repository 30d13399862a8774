"""Difference between two manifests, by service.

A manifest may hold thousands of services while a change affects only a few.
Sending the whole manifest on each change would exceed a daemon's network budget.
"""

import msgspec

from bramleyrouter.board.sections import Manifest, ServiceSpec
from bramleyrouter.ids import Generation, ServiceName


class ManifestDifference(msgspec.Struct, frozen=True):
    """Hold the services that were added or changed.

    ``order`` lists all services of the new manifest, or is none when neither
    their names nor their order changed.
    """

    generation: Generation
    changed: tuple[ServiceSpec, ...]
    order: tuple[ServiceName, ...] | None = None


def build_difference(old: Manifest, new: Manifest) -> ManifestDifference:
    """Return the difference that turns ``old`` into ``new``."""
    old_specs = {spec.name: spec for spec in old.services}
    changed = tuple(spec for spec in new.services if old_specs.get(spec.name) != spec)
    order = tuple(spec.name for spec in new.services)
    is_same_order = order == tuple(old_specs)
    return ManifestDifference(new.generation, changed, None if is_same_order else order)


def apply_difference(old: Manifest, difference: ManifestDifference) -> Manifest:
    """Return the manifest that results from applying ``difference`` to ``old``.

    Raise ``KeyError`` when the order names a service that neither of them holds.
    """
    specs = {spec.name: spec for spec in old.services}
    specs.update((spec.name, spec) for spec in difference.changed)
    order = difference.order
    if order is None:
        order = tuple(spec.name for spec in old.services)
    return Manifest(difference.generation, tuple(specs[name] for name in order))
