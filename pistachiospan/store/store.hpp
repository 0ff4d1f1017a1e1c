// Interface to the platform's services: transactional table, object store, list of VMs.
//
// Example:
//
//     table.transact({{.key = "share/rate/0", .expected = 0, .value = "vm-1"}},
//                    [](result<transaction_outcome> outcome) { ... });
//
// Calls never block. Each handler is called exactly once, from the loop, never within the
// call.

#ifndef PISTACHIOSPAN_STORE_STORE_HPP
#define PISTACHIOSPAN_STORE_STORE_HPP

#include "pistachiospan/base/base.hpp"

#include <optional>
#include <vector>

namespace pistachiospan::store
{

// Revision of a row. Increases with each write of the row; 0 means that it doesn't exist.
using revision = std::uint64_t;

struct row
{
    std::string key;
    std::string value;
    revision rev = 0;
    bool operator==(const row&) const = default;
};

// One conditional write. `expected` is the revision that the row must have.
struct conditional_write
{
    std::string key;
    revision expected = 0;
    std::string value;
    bool remove = false; // true: remove the row, `value` is ignored
};

// A transaction commits all its writes or none.
struct transaction_outcome
{
    bool committed = false;
    // If committed: the rows after the transaction, in the order of the writes. On a
    // conflict: the present state of the rows whose revision was not the expected one.
    std::vector<row> rows;
};

template <class T>
using handler = std::function<void(result<T>)>;

// Errors: unavailable (nothing was written), unknown_outcome (the write may have taken
// effect: read the rows before repeating it), limit_exceeded.
class table
{
public:
    virtual ~table() = default;
    virtual void get(std::string key, handler<std::optional<row>> done) = 0;
    // Reads all rows whose key begins with `prefix`, in the order of the keys.
    virtual void scan(std::string prefix, handler<std::vector<row>> done) = 0;
    virtual void transact(std::vector<conditional_write> writes,
                          handler<transaction_outcome> done) = 0;
};

class object_store
{
public:
    virtual ~object_store() = default;
    virtual void put(std::string name, std::string bytes, handler<bool> done) = 0;
    virtual void get(std::string name, handler<std::string> done) = 0;
};

struct vm_entry
{
    vm_id id;
    std::string address;        // ip:port of the peer listener
    std::string caller_address; // ip:port of the caller listener
    std::string data_centre;
    std::string region;
    bool leaving = false;
};

// The platform's list of live and leaving VMs. It may be out of date.
class vm_list
{
public:
    virtual ~vm_list() = default;
    virtual void list(handler<std::vector<vm_entry>> done) = 0;
};

} // namespace pistachiospan::store

#endif
