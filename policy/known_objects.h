#pragma once

#include <string>
#include <unordered_map>

#include "core/ids.h"
#include "policy/bucket_digest.h"
#include "policy/kind_version.h"

namespace snipefall {

/** The names and revisions of the objects of one kind, as a node knows them from lists and watches of the store. */
class known_objects
{
public:
    using revisions = std::unordered_map<std::string, object_version>;

    /** Replaces all objects by those of a list as of @p storeRevision. */
    void replaceAll(revisions objects, object_version storeRevision);
    /**
     * Whether a reported change is news. A watch that an old copy answers may report changes that a newer list already includes.
     *
     * The @p revision of a deleted object may be that of its deletion or of its last change before.
     */
    bool isNews(const std::string &name, object_version revision, bool deleted) const;
    void update(const std::string &name, object_version revision);
    void remove(const std::string &name);
    /** Notes that all changes up to @p storeRevision are known. */
    void noteCompleteTo(object_version storeRevision);

    /** All changes up to this revision are known. */
    object_version completeTo() const { return m_completeTo; }
    bool empty() const { return m_objects.empty(); }
    kind_version version() const { return {m_completeTo, m_digest.total()}; }
    /** Whether a list with these objects, as of @p storeRevision, shows nothing that is unknown here. */
    bool covers(const revisions &objects, object_version storeRevision) const;
    /** Whether the state that a peer has read from the store, or a newer one, is known here. */
    bool covers(const kind_version &peer) const;

private:
    revisions m_objects;
    bucket_digest m_digest;
    object_version m_completeTo;
};

} // namespace snipefall
