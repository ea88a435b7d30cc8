// Stand-in for the platform's key-value store: its state, without sockets.
//
// Revisions are one counter for all keys, as in the platform's store. A restored snapshot brings back the counter as
// well, so a restored store gives revisions out a second time.
#ifndef GERANIUMSAIL_STANDIN_STOREMODEL_H
#define GERANIUMSAIL_STANDIN_STOREMODEL_H

#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Geraniumsail::Standin {

/// Largest value that the store accepts.
constexpr std::size_t MaxStoreValueBytes = 1'000'000;

struct StoreEntry
{
    std::string value;
    std::uint64_t revision = 0;
    std::string lease; ///< Empty: the entry does not expire.
};

/// Result of a compare-and-swap: the revision in force afterwards, 0 if the key is absent.
struct SwapResult
{
    bool done = false;
    std::uint64_t revision = 0;
};

class StoreModel
{
public:
    std::optional<StoreEntry> get(const std::string &key, MonotonicTime now);
    std::vector<std::pair<std::string, StoreEntry>> list(const std::string &prefix, MonotonicTime now);
    /// expected 0 means that the key must be absent. A lease that is unknown or expired fails the write.
    SwapResult put(const std::string &key, std::string value, std::uint64_t expected, const std::string &lease,
                   MonotonicTime now);
    SwapResult remove(const std::string &key, std::uint64_t expected, MonotonicTime now);

    std::string grantLease(Duration ttl, MonotonicTime now);
    /// False if the lease is unknown or expired.
    bool renewLease(const std::string &lease, MonotonicTime now);

    void snapshot();
    /// Goes back to the snapshot, or to an empty store if there is none.
    void restore();

private:
    struct Lease
    {
        Duration ttl{};
        MonotonicTime expiry;
    };
    struct Content
    {
        std::map<std::string, StoreEntry> entries;
        std::map<std::string, Lease> leases;
        std::uint64_t revision = 0;
        std::uint64_t leaseCount = 0;
    };

    void expire(MonotonicTime now);
    std::uint64_t revisionOf(const std::string &key) const;

    Content m_content;
    Content m_snapshot;
};

} // namespace Geraniumsail::Standin

#endif
