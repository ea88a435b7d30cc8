// What a relay node needs of the platform's store, in the product's own types.
//
// The adapter of a platform implements the concept: it knows keys, encodings and calls.
#ifndef GERANIUMSAIL_RELAY_METADATASTORE_H
#define GERANIUMSAIL_RELAY_METADATASTORE_H

#include "core/routetable.h"
#include "core/upstreamdirectory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/system/result.hpp>

#include <concepts>
#include <string>
#include <vector>

namespace Geraniumsail {

using LeaseId = StrongNumber<struct LeaseIdTag, std::uint64_t>;

enum class StoreError {
    Unreachable, ///< No connection, or the answer was lost: a write may have taken effect, or may later.
    Refused, ///< The store did nothing: it is busy, or over its rates.
    NotFound, ///< The key or lease does not exist.
    Conflict, ///< The condition of a write does not hold.
    HistoryGone, ///< Changes since that revision are no longer kept.
    Malformed, ///< The answer cannot be read.
};

constexpr std::string_view storeErrorLabel(StoreError error)
{
    switch (error) {
    case StoreError::Unreachable:
        return "unreachable";
    case StoreError::Refused:
        return "refused";
    case StoreError::NotFound:
        return "not-found";
    case StoreError::Conflict:
        return "conflict";
    case StoreError::HistoryGone:
        return "history-gone";
    case StoreError::Malformed:
        return "malformed";
    }
    return "unknown";
}

/// A configuration as stored: its routes, or why it cannot be used.
struct ConfigurationDocument
{
    std::optional<RouteTable> table;
    std::string problem;
    std::string text; ///< As stored, for other nodes; empty if it cannot be used.
};

/// Documents in the order of their writing, complete up to revision.
struct ConfigurationChange
{
    std::vector<ConfigurationDocument> value;
    std::uint64_t revision = 0;
};

/// Entries with the revision of their last change, complete up to revision.
struct EntryChanges
{
    std::vector<std::pair<DirectoryEntry, std::uint64_t>> entries;
    std::vector<std::pair<NodeName, std::uint64_t>> gone;
    std::vector<std::string> invalid; ///< Why entries were ignored.
    std::uint64_t revision = 0;
};

template <typename T>
using StoreResult = boost::system::result<T, StoreError>;

template <typename Store>
concept MetadataStore = requires(Store &store, std::uint64_t revision, Duration duration, LeaseId lease,
                                 const DirectoryEntry &entry)
{
    {
        store.decodeConfiguration(std::string())
        } -> std::same_as<ConfigurationDocument>;
    {
        store.readConfiguration()
        } -> std::same_as<boost::asio::awaitable<StoreResult<ConfigurationChange>>>;
    {
        store.watchConfiguration(revision, duration)
        } -> std::same_as<boost::asio::awaitable<StoreResult<ConfigurationChange>>>;
    {
        store.readEntries()
        } -> std::same_as<boost::asio::awaitable<StoreResult<EntryChanges>>>;
    {
        store.watchEntries(revision, duration)
        } -> std::same_as<boost::asio::awaitable<StoreResult<EntryChanges>>>;
    {
        store.grantLease(duration)
        } -> std::same_as<boost::asio::awaitable<StoreResult<LeaseId>>>;
    {
        store.renewLease(lease)
        } -> std::same_as<boost::asio::awaitable<StoreResult<LeaseId>>>;
    {
        store.endLease(lease)
        } -> std::same_as<boost::asio::awaitable<void>>;
    {
        store.readEntryRevision(entry.node)
        } -> std::same_as<boost::asio::awaitable<StoreResult<std::uint64_t>>>;
    {
        store.writeEntry(entry, lease, revision)
        } -> std::same_as<boost::asio::awaitable<StoreResult<std::uint64_t>>>;
};

} // namespace Geraniumsail

#endif
