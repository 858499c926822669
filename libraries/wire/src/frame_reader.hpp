#pragma once

#include "copy_budget.hpp"
#include "message_reader.hpp"

#include <flatbuffers/flatbuffers.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// Copies values out of a verified frame and checks what the verifier does not:
/// the values of enumerations and the total size of the copies.
class frame_reader
{
public:
    explicit frame_reader(std::size_t frame_size) : budget_(frame_size) {}

    [[nodiscard]] bool failed() const noexcept { return !failure_.empty(); }

    /// The reason, if the frame `failed`.
    [[nodiscard]] const std::string& failure() const noexcept
    {
        return failure_;
    }

    /// Copies a string; a missing one is empty.
    [[nodiscard]] std::string text(const flatbuffers::String* value)
    {
        if (value == nullptr || !take(value->size()))
            return {};
        return value->str();
    }

    template<class Identifier>
    [[nodiscard]] Identifier identifier(const flatbuffers::String* value)
    {
        return Identifier(text(value));
    }

    template<class Identifier>
    [[nodiscard]] std::vector<Identifier> identifiers(
        const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>*
            values)
    {
        std::vector<Identifier> read_values;
        if (values == nullptr)
            return read_values;
        for (const auto* value : *values) {
            read_values.push_back(identifier<Identifier>(value));
            if (failed())
                break;
        }
        return read_values;
    }

    [[nodiscard]] std::string
    bytes(const flatbuffers::Vector<std::uint8_t>* value)
    {
        if (value == nullptr || !take(value->size()))
            return {};
        return {reinterpret_cast<const char*>(value->data()), value->size()};
    }

    [[nodiscard]] std::vector<std::uint64_t>
    numbers(const flatbuffers::Vector<std::uint64_t>* values)
    {
        if (values == nullptr || !take(values->size() * sizeof(std::uint64_t)))
            return {};
        return {values->begin(), values->end()};
    }

    [[nodiscard]] std::vector<float>
    numbers(const flatbuffers::Vector<float>* values)
    {
        if (values == nullptr || !take(values->size() * sizeof(float)))
            return {};
        return {values->begin(), values->end()};
    }

    /// Reads a nested table; a missing one gives a value-initialised result.
    template<class Value, class Table>
    [[nodiscard]] Value table(const Table* nested)
    {
        if (nested == nullptr || !take(0))
            return {};
        return read(*nested, *this);
    }

    template<class Value, class Table>
    [[nodiscard]] std::vector<Value>
    list(const flatbuffers::Vector<flatbuffers::Offset<Table>>* tables)
    {
        std::vector<Value> values;
        if (tables == nullptr)
            return values;
        for (const auto* table : *tables) {
            if (!take(0))
                break;
            values.push_back(read(*table, *this));
        }
        return values;
    }

    /// Converts an enumerator of the schema; both enumerations list the same
    /// values from 0.
    template<class Value, class Format>
    [[nodiscard]] Value enumerator(Format value)
    {
        if (value > Format::MAX)
            failure_ = "an enumeration has an unknown value";
        return static_cast<Value>(value);
    }

private:
    // Bytes per element besides its content: an offset and a length for each
    // string and vector, an offset to the table and one to its vtable for each
    // table.
    static constexpr std::size_t element_overhead = 8;

    bool take(std::size_t bytes)
    {
        if (failed())
            return false;
        if (budget_.take(bytes + element_overhead))
            return true;
        failure_ = "its parts overlap";
        return false;
    }

    copy_budget budget_;
    std::string failure_;
};

} // namespace godwit::wire
