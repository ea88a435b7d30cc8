// An in-memory store with compare-and-swap and fault injection per call.
#ifndef GERANIUMSAIL_TESTS_CORE_FAKESTORE_H
#define GERANIUMSAIL_TESTS_CORE_FAKESTORE_H

#include "core/manifest.h"
#include "core/storecall.h"
#include "core/text.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Geraniumsail {

enum class StoreFault {
    None,
    Down, ///< Not executed, no response.
    LostResponse, ///< Executed, but the response is lost.
    DelayedExecution, ///< No response; executed after ExecutionDelayCalls later calls.
};

class FakeStore
{
public:
    StoreResult call(const StoreCall &call, StoreFault fault = StoreFault::None)
    {
        ++calls;
        runDelayed();
        if (down || fault == StoreFault::Down) {
            return {};
        }
        if (fault == StoreFault::DelayedExecution) {
            m_delayed.emplace_back(ExecutionDelayCalls, call);
            return {};
        }
        const StoreResult result = execute(call);
        return fault == StoreFault::LostResponse ? StoreResult{} : result;
    }
    void snapshot()
    {
        m_snapshot = {m_values, m_revision};
    }
    /// Restores the values and the revision counter of the snapshot.
    void restore()
    {
        std::tie(m_values, m_revision) = m_snapshot;
    }
    void flush()
    {
        while (!m_delayed.empty()) {
            runDelayed();
        }
    }
    std::string value(const std::string &key) const
    {
        const auto found = m_values.find(key);
        return found == m_values.end() ? std::string() : found->second.first;
    }

    bool down = false;
    std::uint64_t calls = 0;

private:
    static constexpr int ExecutionDelayCalls = 2;
    using Values = std::map<std::string, std::pair<std::string, std::uint64_t>>;

    StoreResult execute(const StoreCall &call)
    {
        const auto found = m_values.find(call.key);
        const std::uint64_t revision = found == m_values.end() ? 0 : found->second.second;
        if (call.operation == StoreOperation::Put) {
            if (revision != call.expectedRevision) {
                return {StoreStatus::Conflict, {}, revision};
            }
            m_values[call.key] = {call.value, ++m_revision};
            return {StoreStatus::Ok, {}, m_revision};
        }
        if (call.operation == StoreOperation::Watch && revision <= call.expectedRevision) {
            return {StoreStatus::Unchanged, {}, revision};
        }
        if (found == m_values.end()) {
            return {StoreStatus::NotFound, {}, 0};
        }
        return {StoreStatus::Ok, found->second.first, revision};
    }
    void runDelayed()
    {
        for (auto &[callsLeft, call] : m_delayed) {
            --callsLeft;
        }
        while (!m_delayed.empty() && m_delayed.front().first <= 0) {
            execute(m_delayed.front().second);
            m_delayed.pop_front();
        }
    }

    Values m_values;
    std::uint64_t m_revision = 0;
    std::pair<Values, std::uint64_t> m_snapshot;
    std::deque<std::pair<int, StoreCall>> m_delayed;
};

/// A manifest codec that writes one line per document.
inline ManifestCodec plainManifestCodec()
{
    ManifestCodec codec;
    codec.encode = [](const Manifest &manifest) {
        std::string text;
        for (const auto &[name, entry] : manifest) {
            text += name.value() + " " + std::to_string(entry.version.value()) + " " + entry.hash + " "
                + entry.publication + "\n";
        }
        return text;
    };
    codec.decode = [](std::string_view text) -> std::optional<Manifest> {
        Manifest manifest;
        for (const auto &line : splitText(text, '\n')) {
            const auto fields = splitText(line, ' ');
            if (line.empty()) {
                continue;
            }
            if (fields.size() != 4 || !parseNumber<std::uint64_t>(fields[1])) {
                return std::nullopt;
            }
            manifest[DocumentName(std::string(fields[0]))] = {ConfigVersion(*parseNumber<std::uint64_t>(fields[1])),
                                                              std::string(fields[2]), std::string(fields[3])};
        }
        return manifest;
    };
    return codec;
}

} // namespace Geraniumsail

#endif
