"""Local view of the site; versions in it never go back."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile import clocks
from cactusstile.gateway import build_history
from cactusstile.gateway import routes
from cactusstile.gateway import target_view
from cactusstile.gateway import target_views
from cactusstile.gateway import view_age
from cactusstile.gateway.engines import separations
from cactusstile.gateway.engines import stored_parts
from cactusstile.http import request_limits
from cactusstile.routing import regions
from cactusstile.sites import announcements
from cactusstile.sites import messages
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

# Age from which the list of targets is outdated: the gateway polls the platform
# itself, and targets may have begun to leave.
MAX_LIST_AGE_S = 1.4


@attrs.define
class SiteView:
    """Configuration, targets, weights and stores as this process sees them.

    Attributes:
      table: Routes and keys in force; None before the first configuration.
      targets: Views of the targets as last listed.
      listed_s: Loop time of the last list; None before the first.
      listed: Targets of that list.
      builds: Builds of the targets' software.
      weights: Announced versions of the weights.
      confirmed_s: Loop time at which the last confirmation of control was
        read; None before the first. It says nothing of the view's age.
      view_age: Age of the view, by which it may decide on requests.
      gateways: All gateways; they share the site's limits.
      control: Addresses of control processes, as last reported.
      stored: Contents of the stores.
      separations: Mix of long and short prompts.
      regions: Regions of the data centres.
      configured: Set once the first configuration was received.
      configured_s: Loop time of the first configuration.
      stores_known: Set once the contents of an open store were received.
    """

    table: routes.RoutingTable | None = None
    targets: target_views.TargetViews = attrs.field(
        factory=target_views.TargetViews
    )
    listed_s: float | None = None
    listed: tuple[model.Target, ...] = ()
    builds: build_history.BuildHistory = attrs.field(
        factory=build_history.BuildHistory
    )
    weights: announcements.Announcements = attrs.field(
        factory=announcements.Announcements
    )
    confirmed_s: float | None = None
    view_age: view_age.ViewAge = attrs.field(factory=view_age.ViewAge)
    gateways: tuple[messages.GatewayMember, ...] = ()
    control: tuple[str, ...] = ()
    stored: stored_parts.StoredParts = attrs.field(
        factory=stored_parts.StoredParts
    )
    separations: separations.Separations = attrs.field(
        factory=separations.Separations
    )
    regions: regions.Regions = attrs.field(factory=regions.Regions)
    configured: anyio.Event = attrs.field(factory=anyio.Event)
    configured_s: float = float("inf")
    stores_known: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        """Lets the limits of targets be shared by the gateways listed here."""
        self.targets.notices.gateways.list_members = lambda: self.gateways

    @property
    def own_address(self) -> str:
        """Address of this gateway; empty until it has one."""
        return self.targets.notices.gateways.own_address

    @own_address.setter
    def own_address(self, address: str) -> None:
        self.targets.notices.gateways.own_address = address

    def other_gateways(self) -> list[str]:
        """Returns the addresses of all gateways but this one."""
        addresses = [member.address for member in self.gateways]
        return [one for one in addresses if one != self.own_address]

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 before the first."""
        return -1 if self.table is None else self.table.configuration.version

    def replace_configuration(
        self, configuration: model.SiteConfiguration
    ) -> bool:
        """Applies a configuration; returns False if it is not newer."""
        if configuration.version <= self.version:
            return False
        self.table = routes.build(configuration)
        if not self.configured.is_set():
            self.configured_s = anyio.current_time()
        self.configured.set()
        now_s = anyio.current_time()
        self.targets.update(self.listed, configuration.services, now_s)
        return True

    def replace_targets(
        self, listed: tuple[model.Target, ...], now_s: float
    ) -> None:
        """Applies a list of targets."""
        self.listed = listed
        self.listed_s = now_s
        self.builds.update(listed, now_s)
        services = {}
        if self.table is not None:
            services = self.table.configuration.services
        self.targets.update(listed, services, now_s)

    def apply_store_updates(
        self, updates: messages.StoreUpdates, now_s: float
    ) -> None:
        """Applies changes of the stores' contents."""
        self.stored.apply(updates, now_s)
        if any(store.open for store in updates.stores):
            self.stores_known.set()

    def record_peer_prompts(
        self, sent: collections.abc.Iterable[messages.SentPrompt], now_s: float
    ) -> None:
        """Records which prompts other gateways sent to which engines."""
        by_service: dict[str, list[messages.SentPrompt]] = {}
        for prompt in sent:
            view = self.targets.record_peer_prompt(prompt)
            if view is not None:
                known = by_service.setdefault(view.target.service, [])
                known.append(prompt)
        for service, prompts in by_service.items():
            self.separations.record_peer_prompts(service, prompts, now_s)

    def stores(self) -> tuple[model.Store, ...]:
        """Returns the stores of the configuration in force."""
        if self.table is None:
            return ()
        return self.table.configuration.stores

    def service(self, name: str) -> model.Service | None:
        """Returns a service of the configuration in force, or None."""
        if self.table is None:
            return None
        return self.table.configuration.services.get(name)

    def targets_within(
        self,
        service: str,
        bounds: collections.abc.Sequence[collections.abc.Set[str]],
    ) -> list[target_view.TargetView]:
        """Returns the targets of a service within bounds of regions."""
        views = self.targets.of_service(service)
        if not bounds:
            return views
        within = []
        for view in views:
            if self.regions.permits(bounds, view.target.data_centre):
                within.append(view)
        return within

    def find_sole_build(self, route: model.Route) -> str | None:
        """Returns the build of all streams of a route that go on.

        None if the services of the route run several, or did so lately.
        """
        now_s = anyio.current_time()
        boot_s = clocks.boot_s()
        found = set()
        for share in route.shares:
            service = share.service
            found.add(self.builds.sole_build(service, now_s, boot_s))
        return found.pop() if len(found) == 1 else None

    def is_ready(self) -> bool:
        """Returns whether requests can be forwarded."""
        if self.table is None or self.listed_s is None:
            return False
        return not self.view_age.is_superseded

    def caller_limits(self) -> request_limits.CallerLimits:
        """Returns the limits of what callers may send."""
        if self.table is None:
            return request_limits.CallerLimits()
        return self.table.configuration.limits
