"""The replicated state machine: the configuration and the named weights."""

from __future__ import annotations

import typing

from cactusstile.control import commands
from cactusstile.platform import configurations
from cactusstile.registry import commands as site_commands
from cactusstile.sites import documents
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import messages as transport_messages

if typing.TYPE_CHECKING:
    import collections.abc


class SiteState:
    """Highest configuration and newest weights that were committed.

    Attributes:
      image: The state; its version is 0 with an empty document at the start.
      observer: Called after each change.
    """

    def __init__(
        self, observer: collections.abc.Callable[[], None] | None = None
    ) -> None:
        """Starts empty."""
        self.image = site_commands.SiteImage(0, b"", b"", ())
        self.observer = observer
        self._stores: tuple[int, tuple[model.Store, ...]] = (-1, ())

    @property
    def has_configuration(self) -> bool:
        """Whether any configuration was accepted."""
        return bool(self.image.document)

    def weights(self) -> dict[str, int]:
        """Returns the newest version of each model's weights."""
        return {one.model: one.version for one in self.image.weights}

    def stores(self) -> tuple[model.Store, ...]:
        """Returns the stores that the configuration in force names."""
        image = self.image
        if self.has_configuration and self._stores[0] != image.version:
            document = documents.decompress(image.document)
            read = configurations.decode(document)
            self._stores = (image.version, read.stores)
        return self._stores[1]

    def outcome_of(
        self, version: int, digest: bytes
    ) -> site_commands.ConfigurationOutcome:
        """Returns what becomes of a configuration at this moment."""
        image = self.image
        if not self.has_configuration or version > image.version:
            outcome = "accepted"
        elif version < image.version:
            outcome = "outdated"
        else:
            outcome = "known" if digest == image.digest else "conflict"
        held = max(version, image.version)
        return site_commands.ConfigurationOutcome(outcome, held)

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command; see `consensus.replica`."""
        del index
        try:
            read = commands.unpack(command)
        except transport_exceptions.ProtocolError as error:
            return commands.pack(commands.refuse("bad_request", str(error)))
        return commands.pack(self._apply(read))

    def _apply(self, command: object) -> object:
        if isinstance(command, site_commands.ReplaceConfiguration):
            return self._replace(command)
        if isinstance(command, site_commands.NameWeights):
            return self._name(command)
        return transport_messages.CallError("bad_request", "unknown command")

    def _replace(
        self, command: site_commands.ReplaceConfiguration
    ) -> site_commands.ConfigurationOutcome:
        found = self.outcome_of(command.version, command.digest)
        if found.outcome == "accepted":
            self._set(
                site_commands.SiteImage(
                    command.version,
                    command.digest,
                    command.document,
                    self.image.weights,
                )
            )
        return found

    def _name(
        self, command: site_commands.NameWeights
    ) -> site_commands.WeightsOutcome:
        weights = self.weights()
        newest = max(command.version, weights.get(command.model, 0))
        if newest != weights.get(command.model):
            weights[command.model] = newest
            image = self.image
            named = tuple(
                messages.NamedWeights(model, version)
                for model, version in weights.items()
            )
            self._set(
                site_commands.SiteImage(
                    image.version, image.digest, image.document, named
                )
            )
        return site_commands.WeightsOutcome(newest)

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        return commands.pack(self.image)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot; empty data resets it."""
        image = site_commands.SiteImage(0, b"", b"", ())
        if data:
            read = commands.unpack_image(data, site_commands.SiteImage)
            image = typing.cast("site_commands.SiteImage", read)
        self._set(image)

    def _set(self, image: site_commands.SiteImage) -> None:
        self.image = image
        if self.observer is not None:
            self.observer()
