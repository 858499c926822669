#include <godwit/delta/text_patch.hpp>

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace godwit::delta {

namespace {

// Of a whole text; higher levels take several times as long for a few percent.
constexpr int whole_level = 3;
// Against a base nearly everything is found there, at any level.
constexpr int change_level = 1;
// The library's bounds for how far back a reference reaches, as a power of
// two; 128 MiB is the most that it reads unless told otherwise.
constexpr int least_window_log = 10;
constexpr int most_window_log = 27;

using compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

core::error failure(core::error_kind kind, std::size_t code)
{
    return {
        kind,
        std::string("a patch of a text failed: ") + ZSTD_getErrorName(code),
        "ask for the whole text"};
}

core::error no_memory()
{
    return {
        core::error_kind::exhausted,
        "no memory for a patch of a text",
        "look at the process's memory"};
}

core::error unreadable(std::string what)
{
    return {
        core::error_kind::protocol, std::move(what), "ask for the whole text"};
}

// References have to reach from the text's end to the base's beginning.
int window_log(std::size_t bytes)
{
    return std::clamp(
        static_cast<int>(std::bit_width(bytes)),
        least_window_log,
        most_window_log);
}

} // namespace

core::result<text_patch>
make_patch(std::string_view base, std::string_view text)
{
    const compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    if (!context)
        return tl::unexpected(no_memory());
    const auto set = [&context](ZSTD_cParameter parameter, int value) {
        ZSTD_CCtx_setParameter(context.get(), parameter, value);
    };
    set(ZSTD_c_compressionLevel, base.empty() ? whole_level : change_level);
    set(ZSTD_c_windowLog, window_log(base.size() + text.size()));
    // Finds what is the same far away, however large the base is.
    set(ZSTD_c_enableLongDistanceMatching, base.empty() ? 0 : 1);
    if (!base.empty())
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    text_patch made;
    made.made_bytes = text.size();
    made.compressed.resize(ZSTD_compressBound(text.size()));
    const std::size_t size = ZSTD_compress2(
        context.get(),
        made.compressed.data(),
        made.compressed.size(),
        text.data(),
        text.size());
    if (ZSTD_isError(size) != 0)
        return tl::unexpected(failure(core::error_kind::exhausted, size));
    made.compressed.resize(size);
    made.compressed.shrink_to_fit();
    return made;
}

core::result<std::string>
apply_patch(std::string_view base, const text_patch& patch, std::size_t longest)
{
    if (patch.made_bytes > longest)
        return tl::unexpected(unreadable(
            "a patch says that it makes " + std::to_string(patch.made_bytes) +
            " bytes, more than " + std::to_string(longest)));
    const decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    if (!context)
        return tl::unexpected(no_memory());
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(patch.made_bytes, '\0');
    const std::size_t size = ZSTD_decompressDCtx(
        context.get(),
        text.data(),
        text.size(),
        patch.compressed.data(),
        patch.compressed.size());
    if (ZSTD_isError(size) != 0)
        return tl::unexpected(failure(core::error_kind::protocol, size));
    if (size != text.size())
        return tl::unexpected(unreadable(
            "a patch made " + std::to_string(size) + " bytes in place of " +
            std::to_string(text.size())));
    return text;
}

} // namespace godwit::delta
