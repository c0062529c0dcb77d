"""Explanation of where a request would go now, without sending it.

The decisions of the request path are called on a request that is never sent;
nothing that they keep is changed.
"""

import math
import typing

import attrs
import multidict
from aiohttp import web

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.placement import admission
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import admission_control
from bulrushcourse_entry.edge.callers import body_content
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.upstreams import destinations
from bulrushcourse_entry.edge.waiting import room_decisions

PATH = '/explain'
# Candidates that are listed for each region.
MAX_CANDIDATES = 5


@attrs.define(eq=False)
class Explainer:
    """Explains the decisions on a request.

    Attributes:
        state: The process state.
        destinations: Chooses services and regions.
        rooms: Decides whether requests wait.
    """

    state: process_state.ProcessState
    destinations: destinations.DestinationSelector
    rooms: room_decisions.RoomDecisions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the decisions on room."""
        self.rooms = room_decisions.RoomDecisions(self.state)

    def respond(self, query: typing.Mapping[str, str]) -> web.Response:
        """Return the explanation as JSON.

        Args:
            query: ``host`` and ``path`` of the request, and optionally
                ``object`` and ``account``, which is a name, never a key.
        """
        missing = [name for name in ('host', 'path') if not query.get(name)]
        if missing:
            return web.json_response({'missing': missing}, status=400)
        return web.json_response(
            self.explain(
                query['host'],
                query['path'],
                query.get('object', ''),
                query.get('account', ''),
            )
        )

    def explain(
        self, host: str, path: str, object_name: str, account_name: str
    ) -> dict[str, typing.Any]:
        """Return where a request would go now, and why.

        Args:
            host: Host name in the request.
            path: Its path.
            object_name: Affinity object, empty for none.
            account_name: Name of its client account, empty for none.
        """
        table = self.state.routes
        route = table.match(host.lower(), path.partition('?')[0])
        explained: dict[str, typing.Any] = {
            'vm': self.state.settings.vm,
            'configuration': table.version,
            'upstreams_age_s': _age(
                self.state.clock.monotonic() - self.state.upstreams.read_at
            ),
        }
        if route is None:
            return {**explained, 'verdict': 'no-route', 'status': 404}
        account = table.accounts.by_name.get(account_name)
        explained['route'] = route.key
        if route.is_defective:
            return {**explained, 'verdict': 'defective-route', 'status': 503}
        if table.accounts.requires_keys and not route.public:
            if account is None:
                return {**explained, 'verdict': 'unknown-key', 'status': 401}
            explained['account'] = self._explain_account(account)
            route = routes.within_homes(route, account.home_regions)
        identity = (
            account_table.ANONYMOUS
            if account is None
            else account_table.Identity(
                account_table.KeyVerdict.KNOWN, account
            )
        )
        key = ''
        if route.affinity and object_name:
            key = f'{route.key}{object_name}'
        explained['destinations'] = [
            self._explain_region(route, weighted, region, share, key, identity)
            for weighted in route.weighted_services
            for region, share in self._regions(route, weighted.service)
        ]
        return explained

    def _regions(
        self, route: routes.Route, service: str
    ) -> list[tuple[str, float]]:
        shares = self.destinations.expected_regions(route, service)
        ordered = sorted(shares.items(), key=lambda item: -item[1])
        return ordered or [('', 0.0)]

    def _explain_account(
        self, account: accounts.ClientAccount
    ) -> dict[str, typing.Any]:
        state = self.state
        age_s = state.key_permission.age_s(state.routes.version)
        return {
            'name': account.name,
            'priority': account.priority,
            'home_regions': sorted(account.home_regions),
            'quota_per_s': account.quota.rate_per_s if account.quota else None,
            'keys_served': not state.keys_must_be_current
            or state.key_permission.may_serve(
                state.routes.version, state.settings.bounds.revoke_s
            ),
            'key_proof_age_s': _age(age_s),
        }

    def _explain_region(  # noqa: PLR0913
        self,
        route: routes.Route,
        weighted: routes.WeightedService,
        region: str,
        share: float,
        object_key: str,
        identity: account_table.Identity,
    ) -> dict[str, typing.Any]:
        state = self.state
        now = state.clock.monotonic()
        request = caller_request.CallerRequest(
            request_id='',
            method='GET',
            target='',
            headers=multidict.CIMultiDictProxy(multidict.CIMultiDict()),
            body=body_content.Content(),
            route=route,
            configuration_version=state.routes.version,
            service=weighted.service,
            region=region,
            object_key=object_key,
            arrived=now,
            deadline=now + route.timeout_s,
            identity=identity,
        )
        withheld = state.upstreams.addresses.withheld(bool(route.home_regions))
        ranked = state.placement.rank(
            admission_control.placement_request(request),
            state.routes.service(weighted.service),
        )
        return {
            'service': weighted.service,
            'weight': weighted.weight,
            'region': region,
            'share': round(share, 3),
            'priority': request.priority,
            'verdict': self._verdict(request, ranked),
            # Its address belongs to another upstream, or is not proven.
            'withheld': sorted(
                u.name
                for u in state.upstreams.candidates.usable(
                    weighted.service, region
                )
                if u.name in withheld
            ),
            'steps': request.steps,
            'candidates': [
                self._explain_candidate(choice)
                for choice in ranked[:MAX_CANDIDATES]
            ],
        }

    def _verdict(
        self,
        request: caller_request.CallerRequest,
        ranked: list[placement.Choice],
    ) -> str:
        if self.rooms.current_ranks().applies_to(request.service):
            action, _, _ = self.rooms.decide(request)
            return action.value
        verdict = admission.admit(
            ranked[0] if ranked else None,
            request.route,
            0.0,
            request.route.timeout_s,
        )
        return verdict.value

    def _explain_candidate(
        self, choice: placement.Choice
    ) -> dict[str, typing.Any]:
        load = self.state.load
        name = choice.upstream.name
        slowness, at = load.slowness.get(name, (None, -math.inf))
        return {
            'upstream': name,
            'expected_ms': round(choice.completion_s * 1000),
            'work_ms': round(choice.work_s * 1000),
            'affinity': choice.affinity.value,
            'in_flight': load.in_flight(name),
            'slots': choice.upstream.slots,
            'queued': choice.queued,
            'cold': choice.cold,
            'slowness': slowness,
            'slowness_age_s': _age(self.state.clock.monotonic() - at),
            'failing': round(self.state.outliers.failure_share(name), 3),
            'address_proven_for_s': round(
                self.state.upstreams.addresses.proven_for_s(choice.upstream), 3
            ),
        }


def _age(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
