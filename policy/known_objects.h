#pragma once

#include <string>
#include <unordered_map>

#include "policy/bucket_digest.h"
#include "policy/kind_version.h"

namespace snipefall {

/** The names and revisions of the objects of one kind, as a node knows them from lists and watches of the store. */
class known_objects
{
public:
    using revisions = std::unordered_map<std::string, store_position>;

    /** Replaces all objects by those of a list as of @p storeRevision. */
    void replaceAll(revisions objects, store_position storeRevision);
    /**
     * Whether a reported change is news. A watch that an old copy answers may report changes that a newer list already includes.
     *
     * The @p revision of a deleted object may be that of its deletion or of its last change before.
     */
    bool isNews(const std::string &name, store_position revision, bool deleted) const;
    void update(const std::string &name, store_position revision);
    void remove(const std::string &name);
    /** Notes that all changes up to @p storeRevision are known. */
    void noteCompleteTo(store_position storeRevision);

    /** All changes up to this revision are known. */
    store_position completeTo() const { return m_completeTo; }
    bool empty() const { return m_objects.empty(); }
    kind_version version() const { return {m_completeTo, m_digest.total()}; }
    /** Whether a list with these objects, as of @p storeRevision, shows nothing that is unknown here. */
    bool covers(const revisions &objects, store_position storeRevision) const;
    /** Whether the state that a peer has read from the store, or a newer one, is known here. */
    bool covers(const kind_version &peer) const;

private:
    revisions m_objects;
    bucket_digest m_digest;
    store_position m_completeTo;
};

} // namespace snipefall
