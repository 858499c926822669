#pragma once

#include <godwit/load/answer_fault.hpp>
#include <godwit/load/class_summary.hpp>
#include <godwit/load/request_class.hpp>
#include <godwit/load/request_record.hpp>
#include <godwit/load/run_parameters.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwit::load {

/// The measures of a run.
struct run_summary
{
    run_parameters parameters;
    std::array<class_summary, all_classes.size()> classes;
    class_summary all;
    std::map<std::string, std::uint64_t> reasons; ///< Of other outcomes.
    std::map<answer_fault, std::uint64_t> faults;
    std::vector<std::string> details;         ///< Of the first faults.
    std::optional<std::uint64_t> preemptions; ///< During the run.

    [[nodiscard]] bool has_fault() const noexcept { return !faults.empty(); }

    /// Adds up records.
    [[nodiscard]] static run_summary
    of(const std::vector<request_record>& records);
};

} // namespace godwit::load
