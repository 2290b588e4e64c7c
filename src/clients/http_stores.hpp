// HTTP clients of the platform's stores and fleet view. Bodies are JSON, except
// the objects of the object store.
//
// Table service : POST /v1/commit, POST /v1/read, POST /v1/scan
// Object store  : PUT and GET /v1/objects/KEY
// Weight store  : POST /v1/weights/describe
// Fleet view    : GET /v1/hosts
#ifndef DOTTERELLOCK_CLIENTS_HTTP_STORES_HPP
#define DOTTERELLOCK_CLIENTS_HTTP_STORES_HPP

#include <dotterellock/external_services.hpp>

#include "curl_executor.hpp"

namespace dotterellock
{

class http_table_service : public table_service
{
public:
    http_table_service(
        std::string base_url, curl_executor& executor, post_function post);

    void commit(
        std::vector<row_write> writes, duration timeout,
        std::function<void(commit_result)> done) override;
    void read(
        std::vector<std::string> keys, duration timeout,
        std::function<void(read_result)> done) override;
    void scan(
        std::string prefix, duration timeout,
        std::function<void(read_result)> done) override;

private:
    void read_rows(
        std::string const& path, std::string body, duration timeout,
        std::function<void(read_result)> done);

    std::string base_url_;
    curl_executor& executor_;
    post_function post_;
};

class http_object_store : public object_store
{
public:
    http_object_store(
        std::string base_url, curl_executor& executor, post_function post);

    void
    put(std::string key, std::string body, duration timeout,
        std::function<void(object_result)> done) override;
    void fetch(
        std::string key, duration timeout,
        std::function<void(object_result)> done) override;

private:
    std::string base_url_;
    curl_executor& executor_;
    post_function post_;
};

class http_weight_store : public weight_store
{
public:
    http_weight_store(
        std::string base_url, curl_executor& executor, post_function post);

    void describe(
        model_ref const& model, duration timeout,
        std::function<void(weight_info)> done) override;

private:
    std::string base_url_;
    curl_executor& executor_;
    post_function post_;
};

class http_fleet_view : public fleet_view
{
public:
    http_fleet_view(
        std::string base_url, curl_executor& executor, post_function post);

    void
    hosts(duration timeout, std::function<void(fleet_result)> done) override;

private:
    std::string base_url_;
    curl_executor& executor_;
    post_function post_;
};

} // namespace dotterellock

#endif
