// Encoding of datagrams and rows about rollouts.
#include "lentilbay/Edge/RolloutMessages.h"

#include "CompactFields.h"
#include "lentilbay/Support/Hash.h"

#include <cereal/archives/portable_binary.hpp>
#include <functional>
#include <sstream>

namespace lentilbay {

template <class Archive> void serialize(Archive& archive, RolloutOrderId& it)
{
    edge::compact::integer(archive, it.era);
    edge::compact::integer(archive, it.number);
}

template <class Archive> void serialize(Archive& archive, ResponseCounts& it)
{
    edge::compact::integer(archive, it.responses);
    edge::compact::integer(archive, it.bad);
    edge::compact::integer(archive, it.slow);
}

template <class Archive> void serialize(Archive& archive, RouteCounts& it)
{
    archive(it.route, it.former, it.target);
}

template <class Archive> void serialize(Archive& archive, EndpointCounts& it)
{
    archive(it.endpoint, it.counts);
}

/// The longest time that an order may last, as in its document (platform/Documents). Longer ones stand in
/// damaged bytes: an order would seem to be over, or a sum of times would overflow.
constexpr Duration maxTime = std::chrono::seconds(1'000'000'000);

/// Throws if a time that was read is negative or longer than `maxTime`.
inline void checkTime(Duration time)
{
    if (time < Duration() || time > maxTime)
        throw cereal::Exception("a time of a rollout is out of its range");
}

/// Throws if the time read is out of its range.
template <class Archive> void serializeTime(Archive& archive, Duration& time)
{
    auto microseconds = time.count();
    edge::compact::integerAs(archive, microseconds);
    time = Duration(microseconds);
    if (!Archive::is_saving::value)
        checkTime(time);
}

/// Throws if the value read is no phase.
template <class Archive> void serializePhase(Archive& archive, RolloutPhase& phase)
{
    archive(phase);
    if (!Archive::is_saving::value && phase > RolloutPhase::Reverted)
        throw cereal::Exception("a rollout is in an unknown phase");
}

template <class Archive> void serialize(Archive& archive, RolloutReport& it)
{
    edge::compact::text(archive, it.daemon);
    archive(it.incarnation, it.order);
    edge::compact::integer(archive, it.sequence);
    serializePhase(archive, it.phase);
    edge::compact::integer(archive, it.requests);
    edge::compact::integer(archive, it.sentToTarget);
    edge::compact::integerAs(archive, it.formerInFlight);
    edge::compact::list(archive, it.routes, std::ref(archive));
    edge::compact::list(archive, it.endpoints, std::ref(archive));
}

template <class Archive> void serialize(Archive& archive, RolloutPermit& it)
{
    archive(it.order);
    serializePhase(archive, it.phase);
    edge::compact::number(archive, it.share);
    // Also of a value that is no number.
    if (!Archive::is_saving::value && !(it.share >= 0 && it.share <= 1))
        throw cereal::Exception("the share of a permit is out of its range");
    edge::compact::integerAs(archive, it.rotation);
}

template <class Archive> void serialize(Archive& archive, RolloutState& it)
{
    archive(it.order);
    serializePhase(archive, it.phase);
    serializeTime(archive, it.elapsedAtWrite);
    for (auto* count : { &it.requests, &it.sentToTarget, &it.responses, &it.badResponses, &it.slowResponses,
             &it.formerResponses, &it.formerBadResponses, &it.formerSlowResponses })
        edge::compact::integer(archive, *count);
}

} // namespace lentilbay

namespace lentilbay::edge {
namespace {

/// The start of each datagram, followed in the lowest byte by its kind.
constexpr uint32_t magic = 0x4c42'5200;
constexpr uint32_t kindMask = 0xff;
constexpr uint32_t reportKind = 0x01;
constexpr uint32_t permitKind = 0x02;
/// The layout of a row; rows of other layouts are not read.
constexpr uint8_t rowLayout = 0x01;

template <class Archive> void serialize(Archive& archive, RolloutReportMessage& it)
{
    archive(it.service, it.sentMicroseconds, it.orderContent);
    compact::age(archive, it.orderAgeMicroseconds);
    if (!Archive::is_saving::value && it.orderAgeMicroseconds != -1)
        checkTime(Duration(it.orderAgeMicroseconds));
    archive(it.report);
}

template <class Archive> void serialize(Archive& archive, RolloutPermitMessage& it)
{
    archive(it.service, it.incarnation, it.sentMicroseconds);
    compact::text(archive, it.daemon);
    compact::flags(archive, it.isStoreAway, it.hasPermit);
    archive(it.permit);
    compact::list(archive, it.formerVersions, std::ref(archive));
}

template <class Archive> void serialize(Archive& archive, RolloutRow& it)
{
    compact::text(archive, it.order.version);
    serializeTime(archive, it.order.duration);
    archive(it.state);
    compact::integer(archive, it.begunMilliseconds);
    compact::list(archive, it.formerVersions, std::ref(archive));
}

/// Calls `decode` with an archive of the bytes.
template <class F> auto decodeOrFail(std::string_view bytes, F&& decode)
{
    std::istringstream in { std::string(bytes) };
    cereal::PortableBinaryInputArchive archive(in);
    return decode(archive);
}

uint32_t startOf(std::string_view datagram)
{
    try {
        return decodeOrFail(datagram.substr(0, 1 + sizeof magic), [](auto& archive) {
            uint32_t out = 0;
            archive(out);
            return out;
        });
    } catch (const std::exception&) {
        return 0;
    }
}

} // namespace

uint64_t orderContentOf(const RolloutOrder& order)
{
    const auto duration = order.duration.count();
    return hashOf(order.version,
        hashOf(order.service.text(), hashOf({ reinterpret_cast<const char*>(&duration), sizeof duration })));
}

std::string encodeRolloutMessage(const RolloutMessage& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        std::visit(
            [&]<class T>(T it) {
                archive(magic | (std::is_same_v<T, RolloutReportMessage> ? reportKind : permitKind));
                serialize(archive, it);
            },
            message);
    }
    return std::move(stream).str();
}

bool isRolloutMessage(std::string_view datagram) { return (startOf(datagram) & ~kindMask) == magic; }

Result<RolloutMessage> decodeRolloutMessage(std::string_view datagram)
{
    try {
        return decodeOrFail(datagram, [](auto& archive) -> Result<RolloutMessage> {
            uint32_t start = 0;
            archive(start);
            if (start == (magic | reportKind)) {
                RolloutReportMessage out;
                serialize(archive, out);
                return out;
            }
            if (start != (magic | permitKind))
                return fail(ResultCode::MalformedRequest, "a rollout message is of an unknown kind");
            RolloutPermitMessage out;
            serialize(archive, out);
            return out;
        });
    } catch (const std::exception& error) {
        return fail(ResultCode::MalformedRequest, error.what());
    }
}

std::string encodeRolloutRow(const RolloutRow& row)
{
    auto out = row;
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(rowLayout);
        serialize(archive, out);
    }
    return std::move(stream).str();
}

Result<RolloutRow> decodeRolloutRow(std::string_view value)
{
    try {
        return decodeOrFail(value, [](auto& archive) -> Result<RolloutRow> {
            uint8_t layout = 0;
            archive(layout);
            if (layout != rowLayout)
                return fail(ResultCode::PlatformAnswerInvalid, "a rollout's row is of an unknown layout");
            RolloutRow out;
            serialize(archive, out);
            out.order.id = out.state.order;
            return out;
        });
    } catch (const std::exception& error) {
        return fail(ResultCode::PlatformAnswerInvalid, error.what());
    }
}

} // namespace lentilbay::edge
