#include "tier/node_registration.h"

#include "core/logger.h"
#include "platform/wire_names.h"

namespace snipefall {

namespace {

constexpr duration RETRY_PAUSE = std::chrono::seconds(2);
/** All nodes register again within this time, so that their calls stay within the rates of the store. */
constexpr duration RESTORE_SPREAD = std::chrono::seconds(1);

} // namespace

node_registration::node_registration(boost::asio::io_context &loop, store_client &store, member self, std::function<void(std::vector<std::string>)> onListed)
    : m_store(store)
    , m_self(std::move(self))
    , m_onListed(std::move(onListed))
    , m_timer(loop)
    , m_random(static_cast<std::mt19937::result_type>(std::hash<std::string>()(m_self.id.str())))
{
}

void node_registration::start(read_freshness freshness)
{
    m_started = true;
    list(freshness);
}

void node_registration::restore()
{
    if (!m_started || m_removing) {
        return;
    }
    m_revision = store_position();
    listAfter(duration(std::uniform_int_distribution<duration::rep>(0, RESTORE_SPREAD.count())(m_random)));
}

void node_registration::list(read_freshness freshness)
{
    m_store.list(wire::NODES_KIND, freshness, store_client::CALL_TIMEOUT, [this](const outcome<object_listing> &listing) {
        if (!listing) {
            scheduleRetry();
            return;
        }
        std::vector<std::string> addresses;
        store_position existing;
        for (const stored_object &object : listing->objects) {
            if (object.name == m_self.id.str()) {
                existing = object.revision;
            }
            const std::string address = jsonValue<std::string>(object.spec, "peer_address", "");
            if (!address.empty()) {
                addresses.push_back(address);
            }
        }
        m_onListed(std::move(addresses));
        if (!m_removing) {
            write(existing);
        }
    });
}

void node_registration::write(store_position existing)
{
    const json spec{{"peer_address", m_self.peerAddress},
                    {"caller_address", m_self.callerAddress},
                    {"domain", m_self.domain.str()},
                    {"started_ms", m_self.started.value()}};
    const auto onWritten = [this](const outcome<store_position> &written) {
        if (!written) {
            logInfo("node.not_registered", {{"reason", written.reason().message}});
            scheduleRetry();
            return;
        }
        m_revision = *written;
    };
    if (existing == store_position()) {
        m_store.create(wire::NODES_KIND, m_self.id.str(), spec, onWritten);
        return;
    }
    m_store.replace(wire::NODES_KIND, m_self.id.str(), spec, existing, onWritten);
}

void node_registration::remove()
{
    m_removing = true;
    m_timer.cancel();
    if (m_revision == store_position()) {
        return;
    }
    m_store.remove(wire::NODES_KIND, m_self.id.str(), m_revision, [](const outcome<store_position> &removed) {
        if (!removed) {
            logInfo("node.not_unregistered", {{"reason", removed.reason().message}});
        }
    });
}

void node_registration::scheduleRetry()
{
    if (!m_removing) {
        listAfter(RETRY_PAUSE);
    }
}

void node_registration::listAfter(duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            list(read_freshness::newest);
        }
    });
}

} // namespace snipefall
