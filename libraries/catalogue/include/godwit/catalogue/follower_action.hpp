#pragma once

#include <godwit/catalogue/append_records.hpp>
#include <godwit/catalogue/become_ready.hpp>
#include <godwit/catalogue/clear_alarm.hpp>
#include <godwit/catalogue/publish_snapshot.hpp>
#include <godwit/catalogue/pull_from_peer.hpp>
#include <godwit/catalogue/raise_alarm.hpp>
#include <godwit/catalogue/read_log.hpp>
#include <godwit/catalogue/report_verdict.hpp>
#include <godwit/catalogue/send_digest.hpp>
#include <godwit/catalogue/send_records.hpp>
#include <godwit/catalogue/send_snapshot.hpp>

#include <variant>

namespace godwit::catalogue {

/// What a follower asks of its shell.
using follower_action = std::variant<
    read_log,
    pull_from_peer,
    send_digest,
    send_records,
    send_snapshot,
    publish_snapshot,
    report_verdict,
    raise_alarm,
    clear_alarm,
    append_records,
    become_ready>;

} // namespace godwit::catalogue
