// Fuzzes what daemons read about rollouts: datagrams of other daemons, and the rows with the order, the state
// and the status. Any bytes are refused, or yield values in their range with which a daemon goes on.
#include "lentilbay/Edge/RolloutController.h"
#include "lentilbay/Edge/RolloutMessages.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/platform/Documents.h"

#include <cstdlib>
#include <iostream>

using namespace lentilbay;
using namespace lentilbay::edge;
using namespace std::chrono_literals;

namespace {

const ServiceId service("s");
constexpr auto key = "rollout/s";
constexpr auto orderText = R"({"Service":"s","To":"v2","DurationS":40})";

void require(bool condition, const char* failure)
{
    if (condition)
        return;
    std::cerr << failure << '\n';
    std::abort();
}

template <class T, class F> std::optional<T> decoded(F decode)
{
    const auto outcome = outcomeOf<T>(decode);
    const auto* value = std::get_if<T>(&outcome);
    return value ? std::optional(*value) : std::nullopt;
}

bool isTime(Duration time) { return time >= Duration() && time <= 1'000'000'000s; }

void checkDatagram(std::string_view bytes)
{
    const auto message = decoded<RolloutMessage>([&] { return decodeRolloutMessage(bytes); });
    if (!message)
        return;
    require(isRolloutMessage(bytes), "a datagram of another kind was decoded");
    const auto again
        = decoded<RolloutMessage>([&] { return decodeRolloutMessage(encodeRolloutMessage(*message)); });
    require(again == message, "a message is not read back unchanged");
    if (const auto* report = std::get_if<RolloutReportMessage>(&*message))
        require(report->orderAgeMicroseconds == -1 || isTime(Duration(report->orderAgeMicroseconds)),
            "the age of an order is out of its range");
    if (const auto* permit = std::get_if<RolloutPermitMessage>(&*message))
        require(permit->permit.share >= 0 && permit->permit.share <= 1, "a share is out of its range");
}

void checkRow(std::string_view bytes)
{
    const auto row = decoded<RolloutRow>([&] { return decodeRolloutRow(bytes); });
    if (!row)
        return;
    require(decoded<RolloutRow>([&] { return decodeRolloutRow(encodeRolloutRow(*row)); }) == row,
        "a row is not read back unchanged");
    require(isTime(row->order.duration) && isTime(row->state.elapsedAtWrite), "a time is out of its range");
}

/// A daemon that reads the input wherever something is read about rollouts, and goes on for two seconds.
void checkDaemon(const std::string& text)
{
    TimePoint now(100s);
    EndpointRegistry registry(
        { .ownDataCentre = DataCentreId("a"), .regions = { { DataCentreId("a"), RegionId("r") } } }, 1);
    for (const auto* version : { "v1", "v2" })
        registry.list({ .id = EndpointId(version),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId("a"),
            .slots = 4,
            .softwareVersion = version });
    RolloutController controller(
        { .daemon = "edge-2", .incarnation = 13, .storeHost = "s:1", .clock = [&] { return now; } },
        registry);
    controller.setDaemons({ "edge-1" }, true, 2);
    const platform::StoreRow order {
        .table = "op", .key = key, .value = orderText, .version = { .era = 2, .number = 400 }
    };
    controller.applyOrderRow(order, now);
    controller.setCaller([&](const std::string& request, const std::function<void(const StoreReply&)>& done) {
        platform::StoreRows rows { .version = { .era = 2, .number = 500 }, .storeTime = 1000s };
        for (const auto* table : { "rollouts", "status" })
            rows.rows.push_back(
                { .table = table, .key = key, .value = text, .version = { .era = 2, .number = 450 } });
        const bool isRead = request.starts_with("GET");
        done({ .status = isRead ? 200 : 412, .era = 2, .body = encodeRows(rows) });
    });
    // A message of another service would be ignored.
    auto message = decoded<RolloutMessage>([&] { return decodeRolloutMessage(text); });
    if (message)
        std::visit([](auto& it) { it.service = hashOf(service.text()); }, *message);
    const auto datagram = message ? encodeRolloutMessage(*message) : text;
    for (int i = 0; i < 20; ++i) {
        now += 100ms;
        controller.poll(now);
        controller.receive(datagram, now);
        RolloutTicket ticket;
        controller.assign(service, std::nullopt, ticket, now);
    }
    auto other = order;
    other.value = text;
    ++other.version.number;
    controller.applyOrderRow(other, now);
    controller.poll(now);
    for (const auto& [name, value] : controller.gauges(now))
        require(value >= 0, "a value of the metrics is negative");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    // The events of damaged rows are as many as the inputs.
    static const bool isQuiet = [] {
        configureLog({ .level = "off" });
        return true;
    }();
    const std::string text(reinterpret_cast<const char*>(data), size);
    checkDatagram(text);
    checkRow(text);
    if (isQuiet)
        checkDaemon(text);
    return 0;
}
