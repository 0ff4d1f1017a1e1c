// Tells whether this VM's copy of a table lacks a change that other VMs have.

#ifndef PISTACHIOSPAN_EDGE_INTERNAL_CHANGE_WATCH_HPP
#define PISTACHIOSPAN_EDGE_INTERNAL_CHANGE_WATCH_HPP

#include "pistachiospan/base/base.hpp"

#include <cstdint>
#include <optional>

namespace pistachiospan::edge::internal
{

// Follows one change at a time: while changes come in quick succession some VM is always
// ahead, and that alone does not show that this one gets no news.
class change_watch
{
public:
    // To be called at each check, with the newest change of this VM's copy and of the
    // other VMs (0: not known). Times count from the check before the one that first
    // showed the change.
    void check(time_point now, std::uint64_t known, std::uint64_t elsewhere)
    {
        const time_point before = this->checked_at.value_or(now);
        this->checked_at = now;
        if (this->missing > known && elsewhere > known)
            return;
        this->missing = elsewhere > known ? elsewhere : 0;
        this->since = before;
    }

    // How long the copy has lacked the change; 0 if it lacks none.
    duration missing_for(time_point now) const
    {
        return this->missing == 0 ? duration(0) : now - this->since;
    }
    // When the change was first heard of, if the copy lacks one.
    time_point missing_since() const
    {
        return this->since;
    }

private:
    std::optional<time_point> checked_at;
    std::uint64_t missing = 0; // the change that the copy lacks; 0: none
    time_point since;
};

} // namespace pistachiospan::edge::internal

#endif
