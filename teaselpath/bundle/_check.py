"""Validation of a bundle document; reports all faults at once."""

from collections.abc import Iterable, Sequence

from result import Err, Ok, Result

from teaselpath.bundle._document import Bundle, EndpointSpec, OrderSpec, Route
from teaselpath.bundle._faults import FaultCollector, decode_document
from teaselpath.results import Code, Failure


def check_bundle(data: bytes) -> Result[Bundle, list[Failure]]:
    """Decode and validate a bundle.

    :param data: JSON document.
    :returns: the bundle, or all faults, each with its JSON path, reason and result code.
    """
    faults = FaultCollector(Code.INVALID_BUNDLE)
    bundle = decode_document(data, Bundle, faults)
    if bundle is not None:
        _check_version(bundle, faults)
        _check_duplicates(bundle, faults)
        _check_endpoints(bundle, faults)
        _check_routes(bundle, faults)
        _check_orders(bundle, faults)
    if bundle is None or faults.faults:
        return Err(faults.faults)
    return Ok(bundle)


def _check_version(bundle: Bundle, faults: FaultCollector) -> None:
    if "$.parent" not in faults.faulty_paths and bundle.version <= bundle.parent:
        faults.add("$.version", f"must be higher than the parent's version {bundle.parent}")


def _check_duplicates(bundle: Bundle, faults: FaultCollector) -> None:
    for name in ("workspaces", "models", "endpoints", "classes"):
        items: Sequence = getattr(bundle, name)
        ids = [(f"$.{name}[{i}].id", part.id) for i, part in enumerate(items)]
        _report_duplicates(ids, "id", faults)
    prefixes = [(f"$.routes[{i}].prefix", route.prefix) for i, route in enumerate(bundle.routes)]
    _report_duplicates(prefixes, "prefix", faults)
    digests = []
    for i, workspace in enumerate(bundle.workspaces):
        keys = [(f"$.workspaces[{i}].keys[{j}]", key) for j, key in enumerate(workspace.keys)]
        _report_duplicates([(f"{path}.id", key.id) for path, key in keys], "key id", faults)
        digests += [(f"{path}.digest", key.digest) for path, key in keys]
    _report_duplicates(digests, "key digest", faults)


def _report_duplicates(
    values: Iterable[tuple[str, str]], label: str, faults: FaultCollector
) -> None:
    first: dict[str, str] = {}
    for path, value in values:
        if value in first:
            faults.add(path, f"duplicate {label} {value!r}, first at {first[value]}")
        first.setdefault(value, path)


def _check_endpoints(bundle: Bundle, faults: FaultCollector) -> None:
    models = {model.id for model in bundle.models}
    for i, endpoint in enumerate(bundle.endpoints):
        path = f"$.endpoints[{i}]"
        for j, model in enumerate(endpoint.models):
            if model not in models:
                faults.add(f"{path}.models[{j}]", f"model {model!r} is not in $.models")
        if f"{path}.kind" not in faults.faulty_paths:
            _check_endpoint_kind(endpoint, path, faults)


def _check_endpoint_kind(endpoint: EndpointSpec, path: str, faults: FaultCollector) -> None:
    if endpoint.kind == "engine":
        if not endpoint.models:
            faults.add(f"{path}.models", "an engine needs at least one model")
        if endpoint.service:
            faults.add(f"{path}.service", "only an endpoint of kind service has a service")
    else:
        if endpoint.models:
            faults.add(f"{path}.models", "only an endpoint of kind engine has models")
        if not endpoint.service:
            faults.add(f"{path}.service", "an endpoint of kind service needs a service name")


def _check_routes(bundle: Bundle, faults: FaultCollector) -> None:
    services = {endpoint.service for endpoint in bundle.endpoints if endpoint.service}
    classes = {request_class.id for request_class in bundle.classes}
    workspaces = {workspace.id for workspace in bundle.workspaces}
    for i, route in enumerate(bundle.routes):
        path = f"$.routes[{i}]"
        if route.service not in services:
            faults.add(f"{path}.service", f"no endpoint has service {route.service!r}")
        if route.request_class not in classes:
            faults.add(f"{path}.request_class", f"{route.request_class!r} is not in $.classes")
        _report_duplicates(
            ((f"{path}.methods[{j}]", method) for j, method in enumerate(route.methods)),
            "method",
            faults,
        )
        _check_open_route(route, path, workspaces, faults)


def _check_open_route(
    route: Route, path: str, workspaces: set[str], faults: FaultCollector
) -> None:
    if route.open and route.open_workspace not in workspaces:
        faults.add(f"{path}.open_workspace", f"{route.open_workspace!r} is not in $.workspaces")
    if not route.open and route.open_workspace and f"{path}.open" not in faults.faulty_paths:
        faults.add(f"{path}.open_workspace", "only an open route has an open_workspace")


_ORDER_FIELDS = {
    "load_weights": ("model", "version"),
    "load_adapter": ("model", "version"),
    "set_role": ("role",),
}


def _check_orders(bundle: Bundle, faults: FaultCollector) -> None:
    engines = {endpoint.id for endpoint in bundle.endpoints if endpoint.kind == "engine"}
    models = {model.id for model in bundle.models}
    targets = []
    for i, order in enumerate(bundle.orders):
        path = f"$.orders[{i}]"
        if order.endpoint not in engines:
            faults.add(f"{path}.endpoint", f"{order.endpoint!r} is no engine in $.endpoints")
        if order.model and order.model not in models:
            faults.add(f"{path}.model", f"model {order.model!r} is not in $.models")
        if f"{path}.kind" not in faults.faulty_paths:
            _check_order_fields(order, path, faults)
            targets.append((path, f"{order.endpoint} {order.kind} {order.model}"))
    _report_duplicates(targets, "order", faults)


def _check_order_fields(order: OrderSpec, path: str, faults: FaultCollector) -> None:
    required = _ORDER_FIELDS[order.kind]
    for name in ("model", "version", "role"):
        given = getattr(order, name)
        if name in required and not given:
            faults.add(f"{path}.{name}", f"an order of kind {order.kind} needs this field")
        if name not in required and given:
            faults.add(f"{path}.{name}", f"an order of kind {order.kind} does not use this field")
