#pragma once

#include <godwit/core/identifier.hpp>

namespace godwit::core {

/// An organisation that sends requests, as the catalogue names it.
using organisation_name = identifier<struct organisation_name_tag>;

/// A service that callers address: a model's pool or a plain service.
using service_name = identifier<struct service_name_tag>;

/// A class of requests (for example interactive, report, confirmation).
using request_class_name = identifier<struct request_class_name_tag>;

/// An operator who owns catalogue entries.
using operator_name = identifier<struct operator_name_tag>;

/// An availability zone.
using zone_name = identifier<struct zone_name_tag>;

/// A region, which consists of availability zones.
using region_name = identifier<struct region_name_tag>;

/// An entry host, as its settings name it.
using host_name = identifier<struct host_name_tag>;

/// One incarnation of a process on an entry host; a restart makes a new one.
using incarnation_id = identifier<struct incarnation_id_tag>;

/// A backend server as "IP:port".
using server_address = identifier<struct server_address_tag>;

/// Id of a caller's request, chosen by the proxy that accepted it.
using request_id = identifier<struct request_id_tag>;

/// Id of a generation on an engine, chosen by the proxy that starts it.
using generation_id = identifier<struct generation_id_tag>;

/// Key by which a caller identifies retries of one request.
using idempotency_key = identifier<struct idempotency_key_tag>;

} // namespace godwit::core
