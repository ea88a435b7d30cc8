// Strong types for names and identifiers. Values with different tags do not convert to each other.
#ifndef GERANIUMSAIL_CORE_IDS_H
#define GERANIUMSAIL_CORE_IDS_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Geraniumsail {

/// A string with a distinct type for each tag.
template <typename Tag>
class StrongString
{
public:
    StrongString() = default;
    explicit StrongString(std::string value) : m_value(std::move(value))
    {
    }
    const std::string &value() const
    {
        return m_value;
    }
    bool empty() const
    {
        return m_value.empty();
    }
    auto operator<=>(const StrongString &) const = default;

private:
    std::string m_value;
};

using ServiceName = StrongString<struct ServiceNameTag>;
using KindName = StrongString<struct KindNameTag>;
using CallerName = StrongString<struct CallerNameTag>;
using NodeName = StrongString<struct NodeNameTag>;
using DataCentreName = StrongString<struct DataCentreNameTag>;
using RegionName = StrongString<struct RegionNameTag>;
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;
using RequestId = StrongString<struct RequestIdTag>;
using AttemptId = StrongString<struct AttemptIdTag>;
/// Name of a configuration document: a service name or "links".
using DocumentName = StrongString<struct DocumentNameTag>;
/// An address as "ip:port".
using Address = StrongString<struct AddressTag>;

} // namespace Geraniumsail

template <typename Tag>
struct std::hash<Geraniumsail::StrongString<Tag>>
{
    std::size_t operator()(const Geraniumsail::StrongString<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

#endif
