#include <godwit/delta/text_patch.hpp>

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace godwit::delta {

namespace {

// Compression level without a base; higher levels take several times as long
// and save a few percent.
constexpr int full_text_level = 3;
// Compression level with a base: nearly everything is found in the base at any
// level.
constexpr int patch_level = 1;
// Zstandard's limits for the window, the distance that a reference can span, as
// a power of two. Its decompressor accepts at most 128 MiB by default.
constexpr int min_window_log = 10;
constexpr int max_window_log = 27;

using compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

core::error failure(core::error_kind kind, std::size_t code)
{
    return {
        kind,
        std::string("a text patch failed: ") + ZSTD_getErrorName(code),
        "request the whole text"};
}

core::error no_memory()
{
    return {
        core::error_kind::exhausted,
        "out of memory for a text patch",
        "check the process's memory"};
}

core::error invalid_patch(std::string message)
{
    return {
        core::error_kind::protocol,
        std::move(message),
        "request the whole text"};
}

// The window must span the distance from the text's end to the base's start.
int window_log(std::size_t bytes)
{
    return std::clamp(
        static_cast<int>(std::bit_width(bytes)),
        min_window_log,
        max_window_log);
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
    set(ZSTD_c_compressionLevel, base.empty() ? full_text_level : patch_level);
    set(ZSTD_c_windowLog, window_log(base.size() + text.size()));
    // Finds matches at long distances, so that a large base helps too.
    set(ZSTD_c_enableLongDistanceMatching, base.empty() ? 0 : 1);
    if (!base.empty())
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    text_patch patch;
    patch.made_bytes = text.size();
    patch.compressed.resize(ZSTD_compressBound(text.size()));
    const std::size_t size = ZSTD_compress2(
        context.get(),
        patch.compressed.data(),
        patch.compressed.size(),
        text.data(),
        text.size());
    if (ZSTD_isError(size) != 0)
        return tl::unexpected(failure(core::error_kind::exhausted, size));
    patch.compressed.resize(size);
    patch.compressed.shrink_to_fit();
    return patch;
}

core::result<std::string> apply_patch(
    std::string_view base, const text_patch& patch, std::size_t max_bytes)
{
    if (patch.made_bytes > max_bytes)
        return tl::unexpected(invalid_patch(
            "a text patch has a size of " + std::to_string(patch.made_bytes) +
            " bytes; the limit is " + std::to_string(max_bytes)));
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
        return tl::unexpected(invalid_patch(
            "a text patch made " + std::to_string(size) + " bytes instead of " +
            std::to_string(text.size())));
    return text;
}

} // namespace godwit::delta
