// Size of membership at one node of a large group: bytes of the table on the wire and in memory, processor time of a
// tick and of an exchange, message sizes while nothing changes and under churn. No sockets.
//
// The group is one node's view: a full table of MEMBERS records in 10 data centres, of which the node's own exchanges
// are run against the cores of two neighbours with the same table.
#include "core/controlcore.h"
#include "node/controlcodec.h"

#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

using namespace Geraniumsail;

constexpr int DataCentres = 10;
constexpr int Services = 310;
/// HTTP and JSON-RPC around one exchange, both ways, as ControlTask counts them.
constexpr double EnvelopeBytes = 430;
constexpr double SecondsPerDay = 86'400;

double secondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

MemberRecord makeRecord(int number)
{
    MemberRecord record;
    const std::string service = "service-" + std::to_string(number % Services);
    record.name = NodeName(service + "-" + std::to_string(number));
    record.incarnation = Incarnation((1'800'000'000'000ULL + static_cast<std::uint64_t>(number)) << 20U);
    record.sequence = 2;
    const int centre = number % DataCentres;
    record.region = RegionName("region-" + std::to_string(centre % 3));
    record.dataCentre = DataCentreName("region-" + std::to_string(centre % 3) + "-" + std::to_string(centre));
    record.service = ServiceName(service);
    const std::string ip =
        "10." + std::to_string(centre) + "." + std::to_string(number / 250 % 250) + "." + std::to_string(number % 250);
    record.peer = Address(ip + ":7003");
    record.control = Address(ip + ":7004");
    record.slots = Slots(50);
    return record;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

} // namespace

int main(int argc, char *argv[])
{
    const int members = argc > 1 ? std::atoi(argv[1]) : 4900;
    if (members < 2 * DataCentres || members > 100'000) {
        std::cerr << "usage: membershipscale [MEMBERS from 20 to 100000]\n";
        return 2;
    }
    Random random(1);
    MonotonicTime now{std::chrono::seconds(1)};
    WallTime wall{std::chrono::hours(500'000)};

    MembersReply all;
    for (int i = 0; i < members; ++i) {
        all.records.push_back(makeRecord(i));
    }
    const double tableBytes = static_cast<double>(encodeReply(ControlReply(all)).size());

    const std::size_t before = heapBytes();
    ControlCore core(all.records[0], {}, now, random);
    OutgoingRequest transfer;
    transfer.request = FetchMembers{};
    transfer.dataCentre = all.records[0].dataCentre;
    core.onReply(transfer, all, now, wall, random);
    const std::size_t memory = heapBytes() - before;
    ControlCore neighbour(all.records[DataCentres], {}, now, random);
    neighbour.onReply(transfer, all, now, wall, random);

    // One exchange a second for the simulated time; every answer comes from the neighbour, whatever name was asked.
    constexpr int rounds = 600;
    double tickSeconds = 0;
    double codecSeconds = 0;
    double exchangeSeconds = 0;
    double bytes = 0;
    double churnBytes = 0;
    int exchanges = 0;
    int churnExchanges = 0;
    std::uint64_t sequence = 3;
    const double eventsPerSecond = 5000.0 / SecondsPerDay * members / 4900;
    double due = 0;
    for (const bool churn : {false, true}) {
        for (int round = 0; round < 5 * rounds; ++round) {
            now += TickPeriod;
            wall += TickPeriod;
            due += churn ? eventsPerSecond * 0.2 : 0;
            while (due >= 1) {
                due -= 1;
                SyncMessage news;
                news.self = all.records[1 + random() % (all.records.size() - 1)];
                news.self.sequence = ++sequence;
                core.onRequest(news, now, wall, random);
                neighbour.onRequest(news, now, wall, random);
            }
            auto begin = std::chrono::steady_clock::now();
            const auto requests = core.tick(now, wall, random);
            tickSeconds += secondsSince(begin);
            neighbour.tick(now, wall, random);
            for (const auto &request : requests) {
                const auto *sync = std::get_if<SyncMessage>(&request.request);
                if (sync == nullptr) {
                    continue;
                }
                begin = std::chrono::steady_clock::now();
                const std::string text = encodeRequest(request.request);
                auto received = std::get<SyncMessage>(decodeRequest("sync", text));
                codecSeconds += secondsSince(begin);
                received.to = neighbour.membership().self().name;
                begin = std::chrono::steady_clock::now();
                const auto handled = neighbour.onRequest(received, now, wall, random);
                exchangeSeconds += secondsSince(begin);
                begin = std::chrono::steady_clock::now();
                const std::string reply = encodeReply(*handled.reply);
                const auto decoded = decodeReply("sync", reply);
                codecSeconds += secondsSince(begin);
                core.onReply(request, decoded, now, wall, random);
                (churn ? churnBytes : bytes) += static_cast<double>(text.size() + reply.size());
                ++(churn ? churnExchanges : exchanges);
            }
        }
    }
    const int ticks = 2 * 5 * rounds;
    const double perExchange = bytes / exchanges;
    const double perChurnExchange = churnBytes / churnExchanges;
    const double perSecond = exchanges / static_cast<double>(rounds);
    // Each node starts its exchanges and answers as many.
    std::cout << "{\"members\": " << members << ", \"tableWireBytes\": " << tableBytes
              << ", \"recordWireBytes\": " << tableBytes / members
              << ", \"joinSecondsAt8000BytesPerSecond\": " << tableBytes / TransferBytesPerSecond
              << ", \"membershipMemoryBytes\": " << memory
              << ", \"recordMemoryBytes\": " << memory / static_cast<std::size_t>(members)
              << ", \"tickMicroseconds\": " << tickSeconds / ticks * 1e6
              << ", \"exchangeMicroseconds\": " << exchangeSeconds / (exchanges + churnExchanges) * 1e6
              << ", \"codecMicroseconds\": " << codecSeconds / (exchanges + churnExchanges) * 1e6
              << ", \"syncBytesIdle\": " << perExchange << ", \"syncBytesUnderDailyChurn\": " << perChurnExchange
              << ", \"exchangesPerSecond\": " << perSecond
              << ", \"nodeBytesPerSecondIdle\": " << 2 * perSecond * (perExchange + EnvelopeBytes)
              << ", \"nodeBytesPerSecondUnderDailyChurn\": " << 2 * perSecond * (perChurnExchange + EnvelopeBytes)
              << "}\n";
    return 0;
}
