#pragma once

#include <godwit/core/result.hpp>
#include <godwit/routing/route_table.hpp>

#include <cstddef>
#include <memory>

namespace godwit::routing {

/// Builds a route table in steps, so that the caller can do other work between
/// the steps of a large one.
class route_table_builder
{
public:
    explicit route_table_builder(route_table_content content);

    /// Checks and indexes up to `count` further entries; returns whether all
    /// entries are done. Fails like `route_table::create`.
    [[nodiscard]] core::result<bool> index_next(std::size_t count);

    /// Returns the table; call it after `index_next` returned true.
    [[nodiscard]] std::shared_ptr<const route_table> finish();

private:
    std::shared_ptr<route_table> table_;
    std::size_t routes_ = 0;        ///< Number of routes indexed so far.
    std::size_t organisations_ = 0; ///< Number of organisations indexed so far.
};

} // namespace godwit::routing
