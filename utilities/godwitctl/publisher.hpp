#pragma once

#include "catalogue_reader.hpp"

#include <godwit/catalogue/change_set.hpp>
#include <godwit/catalogue/verdict.hpp>
#include <godwit/core/result.hpp>

#include <chrono>
#include <string>

namespace godwit::ctl {

/// Publishes one change set and learns its verdict. The log is read before
/// each append, so a set whose append had an effect without an answer is
/// found there and not appended again.
class publisher
{
public:
    [[nodiscard]] static core::result<publisher> create(
        const http::endpoint& platform, const catalogue::change_set& changes);

    /// The verdict of the change set's first record; a refusal that the
    /// catalogue in force already implies is given without publishing.
    /// Fails when the log cannot be used before `deadline`.
    [[nodiscard]] core::result<catalogue::verdict>
    publish(std::chrono::steady_clock::time_point deadline);

private:
    publisher(catalogue_reader reader, std::string data);

    [[nodiscard]] catalogue::verdict try_now() const;
    [[nodiscard]] catalogue::verdict
    first_verdict(const catalogue::verdict& repeated) const;

    catalogue_reader reader_;
    std::string data_;
};

} // namespace godwit::ctl
