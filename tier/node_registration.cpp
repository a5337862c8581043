#include "tier/node_registration.h"

#include "core/logger.h"
#include "platform/wire_names.h"

namespace snipefall {

namespace {

constexpr duration RETRY_PAUSE = std::chrono::seconds(2);

} // namespace

node_registration::node_registration(boost::asio::io_context &loop, store_client &store, member self, std::function<void(std::vector<std::string>)> onListed)
    : m_store(store)
    , m_self(std::move(self))
    , m_onListed(std::move(onListed))
    , m_timer(loop)
{
}

void node_registration::list(read_freshness freshness)
{
    m_store.list(wire::NODES_KIND, freshness, store_client::CALL_TIMEOUT, [this](const outcome<object_listing> &listing) {
        if (!listing) {
            scheduleRetry();
            return;
        }
        std::vector<std::string> addresses;
        object_version existing;
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
        write(existing);
    });
}

void node_registration::write(object_version existing)
{
    const json spec{{"peer_address", m_self.peerAddress},
                    {"caller_address", m_self.callerAddress},
                    {"domain", m_self.domain.str()},
                    {"started_ms", m_self.started.value()}};
    const auto onWritten = [this](const outcome<object_version> &written) {
        if (!written) {
            logInfo("node.not_registered", {{"reason", written.reason().message}});
            scheduleRetry();
            return;
        }
        m_revision = *written;
    };
    if (existing == object_version()) {
        m_store.create(wire::NODES_KIND, m_self.id.str(), spec, onWritten);
        return;
    }
    m_store.replace(wire::NODES_KIND, m_self.id.str(), spec, existing, onWritten);
}

void node_registration::remove()
{
    m_removing = true;
    m_timer.cancel();
    if (m_revision == object_version()) {
        return;
    }
    m_store.remove(wire::NODES_KIND, m_self.id.str(), m_revision, [](const outcome<object_version> &removed) {
        if (!removed) {
            logInfo("node.not_unregistered", {{"reason", removed.reason().message}});
        }
    });
}

void node_registration::scheduleRetry()
{
    if (m_removing) {
        return;
    }
    m_timer.expires_after(RETRY_PAUSE);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            list(read_freshness::newest);
        }
    });
}

} // namespace snipefall
