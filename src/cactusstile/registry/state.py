"""Replicated state machine: all that a site's registries keep."""

from __future__ import annotations

import logging
import typing

import attrs

from cactusstile.control import commands
from cactusstile.platform import configurations
from cactusstile.registry import commands as site_commands
from cactusstile.registry import evacuations
from cactusstile.registry import holds
from cactusstile.registry import shared_scope
from cactusstile.sites import builds
from cactusstile.sites import documents
from cactusstile.sites import evacuation_messages
from cactusstile.sites import hold_messages
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import messages as transport_messages

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)


class SiteState:
    """Configuration of the highest version, and what else outlives processes.

    Attributes:
      image: The state; version 0 with an empty document before the first
        configuration.
      observer: Called after each change of `image`.
    """

    def __init__(
        self, observer: collections.abc.Callable[[], None] | None = None
    ) -> None:
        """Creates an empty state."""
        self.image = site_commands.SiteImage(0, b"", b"", ())
        self.observer = observer
        self._stores: tuple[int, tuple[model.Store, ...]] = (-1, ())

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration was accepted."""
        return bool(self.image.document)

    def weights(self) -> dict[str, int]:
        """Returns the newest version of the weights by model."""
        return {named.model: named.version for named in self.image.weights}

    def hold_table(self) -> holds.HoldTable:
        """Returns the holds in force, and those that were released."""
        return holds.HoldTable(self.image.holds, self.image.released)

    def evacuation_table(self) -> evacuations.EvacuationTable:
        """Returns the evacuated data centres, and those that came back."""
        return evacuations.EvacuationTable(
            self.image.evacuated, self.image.readmitted
        )

    def stores(self) -> tuple[model.Store, ...]:
        """Returns the stores of the configuration in force."""
        image = self.image
        if self.has_configuration and self._stores[0] != image.version:
            self._stores = (image.version, _decode_stores(image.document))
        return self._stores[1]

    def evaluate_configuration(
        self, version: int, digest: bytes
    ) -> site_commands.ConfigurationOutcome:
        """Returns the outcome of a configuration against the current state."""
        image = self.image
        if not self.has_configuration or version > image.version:
            outcome = "accepted"
        elif version < image.version:
            outcome = "outdated"
        else:
            outcome = "known" if digest == image.digest else "conflict"
        highest_version = max(version, image.version)
        return site_commands.ConfigurationOutcome(outcome, highest_version)

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its packed result.

        See `consensus.replica`.
        """
        del index
        try:
            decoded = commands.unpack(command)
        except transport_exceptions.ProtocolError as error:
            return commands.pack(commands.refuse("bad_request", str(error)))
        return commands.pack(self._apply(decoded))

    def _apply(self, command: object) -> object:
        if isinstance(command, site_commands.ReplaceConfiguration):
            return self._replace_configuration(command)
        if isinstance(command, site_commands.NameWeights):
            return self._name_weights(command)
        if isinstance(command, builds.RecordBuilds):
            return self._record_builds(command)
        if isinstance(command, evacuation_messages.Command):
            return self._set_evacuations(command)
        if isinstance(command, hold_messages.Command):
            return self._set_holds(self.hold_table().after(command))
        return transport_messages.CallError("bad_request", "unknown command")

    def _set_holds(
        self, table: holds.HoldTable | None
    ) -> hold_messages.HoldOutcome:
        """Replaces the holds; None is a command without effect."""
        if table is None:
            return hold_messages.HoldOutcome(False)
        if table != self.hold_table():
            self._set_image(
                attrs.evolve(
                    self.image, holds=table.holds, released=table.released
                )
            )
        return hold_messages.HoldOutcome(True)

    def _set_evacuations(
        self, command: evacuation_messages.Command
    ) -> evacuation_messages.EvacuationOutcome:
        table = self.evacuation_table().after(command)
        if table is None:
            return evacuation_messages.EvacuationOutcome(False)
        self._set_image(
            attrs.evolve(
                self.image, evacuated=table.evacuated, readmitted=table.ended
            )
        )
        return evacuation_messages.EvacuationOutcome(True)

    def _record_builds(
        self, command: builds.RecordBuilds
    ) -> builds.BuildsRecorded:
        merged = builds.merge(self.image.builds, command.services)
        self._set_image(attrs.evolve(self.image, builds=merged))
        return builds.BuildsRecorded(len(command.services))

    def _replace_configuration(
        self, command: site_commands.ReplaceConfiguration
    ) -> site_commands.ConfigurationOutcome:
        decision = self.evaluate_configuration(command.version, command.digest)
        if decision.outcome == "accepted":
            scope = self._scope_after(command)
            self._set_image(
                attrs.evolve(
                    self.image,
                    version=command.version,
                    digest=command.digest,
                    document=command.document,
                    shared_scope=scope.number,
                    sharers=scope.sharers,
                )
            )
        return decision

    def _scope_after(
        self, command: site_commands.ReplaceConfiguration
    ) -> shared_scope.SharedScope:
        image = self.image
        before = shared_scope.SharedScope(image.shared_scope, image.sharers)
        if self.has_configuration and not image.sharers:
            # An older build did not record who shared.
            before = attrs.evolve(before, sharers=command.isolated)
        return before.after(command.version, command.sharing, command.isolated)

    def _name_weights(
        self, command: site_commands.NameWeights
    ) -> site_commands.WeightsOutcome:
        weights = self.weights()
        newest = max(command.version, weights.get(command.model, 0))
        if newest != weights.get(command.model):
            weights[command.model] = newest
            named = tuple(
                messages.NamedWeights(model, version)
                for model, version in weights.items()
            )
            self._set_image(attrs.evolve(self.image, weights=named))
        return site_commands.WeightsOutcome(newest)

    def snapshot(self) -> bytes:
        """Returns the packed state."""
        return commands.pack(self.image)

    def restore(self, data: bytes) -> None:
        """Restores the state from a snapshot; empty data resets it."""
        image = site_commands.SiteImage(0, b"", b"", ())
        if data:
            unpacked = commands.unpack_image(data, site_commands.SiteImage)
            image = typing.cast("site_commands.SiteImage", unpacked)
        self._set_image(image)

    def _set_image(self, image: site_commands.SiteImage) -> None:
        self.image = image
        if self.observer is not None:
            self.observer()


def _decode_stores(document: bytes) -> tuple[model.Store, ...]:
    """Returns the stores of a document, which an older build accepted."""
    try:
        configuration = configurations.decode(documents.decompress(document))
    except model.InvalidConfigurationError as error:
        logger.warning(
            "the configuration in force is invalid; replace it",
            extra={"reason": str(error)},
        )
        return ()
    return configuration.stores
