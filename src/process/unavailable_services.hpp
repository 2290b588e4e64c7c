// Table service and fleet view for processes whose settings name none. Every
// request is answered as unavailable, asynchronously through the given poster.
#ifndef DOTTERELLOCK_PROCESS_UNAVAILABLE_SERVICES_HPP
#define DOTTERELLOCK_PROCESS_UNAVAILABLE_SERVICES_HPP

#include <utility>

#include <dotterellock/external_services.hpp>

namespace dotterellock
{

class unavailable_table_service : public table_service
{
public:
    using poster_type = std::function<void(std::function<void()>)>;

    explicit unavailable_table_service(poster_type post)
        : post_(std::move(post))
    {
    }

    void commit(
        std::vector<row_write>, duration,
        std::function<void(commit_result)> done) override
    {
        post_(
            [done = std::move(done)] {
                done({store_status::unavailable, {}, {}});
            });
    }

    void read(
        std::vector<std::string>, duration,
        std::function<void(read_result)> done) override
    {
        refuse(std::move(done));
    }

    void
    scan(std::string, duration, std::function<void(read_result)> done) override
    {
        refuse(std::move(done));
    }

private:
    void refuse(std::function<void(read_result)> done)
    {
        post_(
            [done = std::move(done)] {
                done({store_status::unavailable, {}});
            });
    }

    poster_type const post_;
};

class unavailable_fleet_view : public fleet_view
{
public:
    explicit unavailable_fleet_view(unavailable_table_service::poster_type post)
        : post_(std::move(post))
    {
    }

    void hosts(duration, std::function<void(fleet_result)> done) override
    {
        post_(
            [done = std::move(done)] {
                done({store_status::unavailable, {}});
            });
    }

private:
    unavailable_table_service::poster_type const post_;
};

} // namespace dotterellock

#endif
