"""What a gateway knows of its site at a moment; it only moves forward."""

from __future__ import annotations

import anyio
import attrs

from cactusstile.gateway import kept_parts
from cactusstile.gateway import routes
from cactusstile.gateway import target_view
from cactusstile.http import callers
from cactusstile.sites import messages
from cactusstile.sites import model


@attrs.define
class SiteView:
    """Configuration, targets and weights as this process knows them.

    Attributes:
      table: Routes and keys in force; None before the first configuration.
      targets: Targets as last listed.
      listed_s: Loop time of the last list; None before the first.
      listed: Targets of that list.
      weights: Newest version that was named, by model.
      named_s: Loop time at which that version became known here.
      confirmed_s: Loop time at which control last confirmed what is known.
      gateways: Addresses of all gateways; they share the site's limits.
      control: Addresses of control processes, as last told.
      kept: Contents of the stores.
      configured: Set once the first configuration is known.
      configured_s: Loop time of that.
      stores_known: Set once the contents of a store are known.
    """

    table: routes.Table | None = None
    targets: target_view.Targets = attrs.field(factory=target_view.Targets)
    listed_s: float | None = None
    listed: tuple[model.Target, ...] = ()
    weights: dict[str, int] = attrs.field(factory=dict)
    named_s: dict[str, float] = attrs.field(factory=dict)
    confirmed_s: float | None = None
    gateways: tuple[str, ...] = ()
    control: tuple[str, ...] = ()
    kept: kept_parts.KeptParts = attrs.field(factory=kept_parts.KeptParts)
    configured: anyio.Event = attrs.field(factory=anyio.Event)
    configured_s: float = float("inf")
    stores_known: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 before the first."""
        return -1 if self.table is None else self.table.configuration.version

    def replace_configuration(
        self, configuration: model.SiteConfiguration
    ) -> bool:
        """Takes a configuration over if it is newer; returns whether it was."""
        if configuration.version <= self.version:
            return False
        self.table = routes.build(configuration)
        if not self.configured.is_set():
            self.configured_s = anyio.current_time()
        self.configured.set()
        self.targets.update(self.listed, configuration.services)
        return True

    def replace_targets(
        self, listed: tuple[model.Target, ...], now_s: float
    ) -> None:
        """Takes a list of targets over."""
        self.listed = listed
        self.listed_s = now_s
        services = {}
        if self.table is not None:
            services = self.table.configuration.services
        self.targets.update(listed, services)

    def take_stores(self, updates: messages.StoreUpdates, now_s: float) -> None:
        """Takes over what changed in the stores."""
        self.kept.take(updates, now_s)
        if any(one.open for one in updates.stores):
            self.stores_known.set()

    def stores(self) -> tuple[model.Store, ...]:
        """Returns the stores of the configuration in force."""
        if self.table is None:
            return ()
        return self.table.configuration.stores

    def service(self, name: str) -> model.Service | None:
        """Returns a service of the configuration in force."""
        if self.table is None:
            return None
        return self.table.configuration.services.get(name)

    def is_ready(self) -> bool:
        """Returns whether requests can be forwarded."""
        return self.table is not None and self.listed_s is not None

    def caller_limits(self) -> callers.CallerLimits:
        """Returns the bounds of what callers may send."""
        if self.table is None:
            return callers.CallerLimits()
        return self.table.configuration.limits
