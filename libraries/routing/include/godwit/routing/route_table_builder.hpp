#pragma once

#include <godwit/core/result.hpp>
#include <godwit/routing/route_table.hpp>

#include <cstddef>
#include <memory>

namespace godwit::routing {

/// Makes a route table bit by bit, so that whoever makes a large one can do
/// other things in between.
class route_table_builder
{
public:
    explicit route_table_builder(route_table_content content);

    /// Checks and indexes up to `count` further entries; true once it has
    /// done all of them. Fails as `route_table::create` does.
    [[nodiscard]] core::result<bool> index_next(std::size_t count);

    /// The table, once `index_next` said that all is done.
    [[nodiscard]] std::shared_ptr<const route_table> finish();

private:
    std::shared_ptr<route_table> table_;
    std::size_t routes_ = 0;        ///< Indexed so far.
    std::size_t organisations_ = 0; ///< Indexed so far.
};

} // namespace godwit::routing
