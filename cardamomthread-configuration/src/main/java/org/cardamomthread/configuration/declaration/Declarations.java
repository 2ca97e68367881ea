package org.cardamomthread.configuration.declaration;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.ProfileId;
import org.cardamomthread.core.id.ServiceId;

/**
 * Holds a set of declarations, indexed by kind and id.
 *
 * <p>Two sets with the same declarations are equal and have the same canonical form and digest,
 * regardless of the files, order, formatting and explicit defaults of their sources. References
 * between declarations are not validated here but by {@link DeclarationsLoader}. Immutable and
 * thread-safe.
 */
public final class Declarations {

    private static final Declarations EMPTY = new Declarations(new TreeMap<>(), new TreeMap<>());

    private final SortedMap<DeclarationKey, String> canonicalJsonByKey;
    private final SortedMap<DeclarationKey, Object> declarationsByKey;
    private final SortedMap<DataCentreId, DataCentre> dataCentres = new TreeMap<>();
    private final SortedMap<EndpointClassId, EndpointClass> endpointClasses = new TreeMap<>();
    private final SortedMap<ProfileId, Profile> profiles = new TreeMap<>();
    private final SortedMap<ServiceId, Service> services = new TreeMap<>();
    private final SortedMap<ClientAccountId, ClientAccount> clientAccounts = new TreeMap<>();
    private final Map<String, ClientAccount> accountsByTokenSha256;

    private Declarations(
            SortedMap<DeclarationKey, String> canonicalJsonByKey,
            SortedMap<DeclarationKey, Object> declarationsByKey) {
        this.canonicalJsonByKey = Collections.unmodifiableSortedMap(canonicalJsonByKey);
        this.declarationsByKey = Collections.unmodifiableSortedMap(declarationsByKey);
        declarationsByKey.values().forEach(this::index);
        accountsByTokenSha256 =
                clientAccounts.values().stream()
                        .collect(
                                Collectors.toMap(
                                        ClientAccount::tokenSha256,
                                        account -> account,
                                        (first, second) -> first));
    }

    private void index(Object declaration) {
        if (declaration instanceof DataCentre dataCentre) {
            dataCentres.put(dataCentre.id(), dataCentre);
        } else if (declaration instanceof EndpointClass endpointClass) {
            endpointClasses.put(endpointClass.id(), endpointClass);
        } else if (declaration instanceof Profile profile) {
            profiles.put(profile.id(), profile);
        } else if (declaration instanceof Service service) {
            services.put(service.id(), service);
        } else {
            ClientAccount account = (ClientAccount) declaration;
            clientAccounts.put(account.id(), account);
        }
    }

    /**
     * Returns the empty set.
     *
     * @return a set without declarations
     */
    public static Declarations empty() {
        return EMPTY;
    }

    /**
     * Returns the set of the given declarations.
     *
     * @param jsonByKey the canonical JSON of each declaration
     * @return the set
     * @throws IllegalArgumentException if a value is not a valid declaration of its kind
     */
    public static Declarations fromCanonicalJson(Map<DeclarationKey, String> jsonByKey) {
        return EMPTY.with(jsonByKey, Set.of());
    }

    /**
     * Returns a copy of this set with changes applied; the copy shares unchanged declarations with
     * this set.
     *
     * @param changed the canonical JSON of each declaration to add or replace
     * @param removed the keys of the declarations to remove
     * @return the copy
     * @throws IllegalArgumentException if a value is not a valid declaration of its kind
     */
    public Declarations with(Map<DeclarationKey, String> changed, Set<DeclarationKey> removed) {
        SortedMap<DeclarationKey, String> newJsonByKey = new TreeMap<>(canonicalJsonByKey);
        SortedMap<DeclarationKey, Object> newDeclarationsByKey = new TreeMap<>(declarationsByKey);
        newJsonByKey.keySet().removeAll(removed);
        newDeclarationsByKey.keySet().removeAll(removed);
        changed.forEach(
                (key, json) -> {
                    newJsonByKey.put(key, json);
                    newDeclarationsByKey.put(key, DeclarationCodec.read(key, json));
                });
        return new Declarations(newJsonByKey, newDeclarationsByKey);
    }

    /**
     * Returns a copy of this set with one service added or replaced.
     *
     * @param service the service
     * @return the copy
     */
    public Declarations with(Service service) {
        DeclarationKey key = new DeclarationKey(DeclarationKind.SERVICE, service.id().value());
        return with(Map.of(key, DeclarationCodec.write(service)), Set.of());
    }

    /**
     * Returns the canonical JSON of each declaration.
     *
     * @return an unmodifiable map in the order of keys
     */
    public SortedMap<DeclarationKey, String> canonicalJsonByKey() {
        return canonicalJsonByKey;
    }

    /**
     * Converts this set to a tree with the structure of a declarations file and every default
     * written out.
     *
     * @return the tree, with sections, ids and properties in a fixed order
     */
    public ObjectNode toTree() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        for (DeclarationKind kind : DeclarationKind.values()) {
            ArrayNode section = root.putArray(kind.sectionKey());
            declarationsByKey.forEach(
                    (key, value) -> {
                        if (key.kind() == kind) {
                            section.add(DeclarationCodec.toTree(value));
                        }
                    });
        }
        return root;
    }

    /**
     * Returns the canonical form of this set.
     *
     * @return single-line JSON, identical for equal sets
     */
    public String toCanonicalJson() {
        StringJoiner sections = new StringJoiner(",", "{", "}");
        for (DeclarationKind kind : DeclarationKind.values()) {
            StringJoiner section = new StringJoiner(",", "\"" + kind.sectionKey() + "\":[", "]");
            canonicalJsonByKey.forEach(
                    (key, json) -> {
                        if (key.kind() == kind) {
                            section.add(json);
                        }
                    });
            sections.add(section.toString());
        }
        return sections.toString();
    }

    /**
     * Returns the SHA-256 digest of the canonical form.
     *
     * @return 64 lower-case hexadecimal digits
     */
    public String digest() {
        return Sha256.hexDigest(toCanonicalJson());
    }

    /**
     * Finds the client account with a token.
     *
     * @param token the token that the client presented
     * @return the account, or empty if no account has the token
     */
    public Optional<ClientAccount> findAccountByToken(String token) {
        return Optional.ofNullable(accountsByTokenSha256.get(Sha256.hexDigest(token)));
    }

    /**
     * Finds a service.
     *
     * @param id the id to find
     * @return the service, or empty if it is not declared
     */
    public Optional<Service> findService(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /**
     * Finds a profile.
     *
     * @param id the id to find
     * @return the profile, or empty if it is not declared
     */
    public Optional<Profile> findProfile(ProfileId id) {
        return Optional.ofNullable(profiles.get(id));
    }

    /**
     * Finds an endpoint class.
     *
     * @param id the id to find
     * @return the class, or empty if it is not declared
     */
    public Optional<EndpointClass> findEndpointClass(EndpointClassId id) {
        return Optional.ofNullable(endpointClasses.get(id));
    }

    /**
     * Returns the declared data centres.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<DataCentreId, DataCentre> dataCentres() {
        return Collections.unmodifiableSortedMap(dataCentres);
    }

    /**
     * Returns the declared endpoint classes.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<EndpointClassId, EndpointClass> endpointClasses() {
        return Collections.unmodifiableSortedMap(endpointClasses);
    }

    /**
     * Returns the declared profiles.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<ProfileId, Profile> profiles() {
        return Collections.unmodifiableSortedMap(profiles);
    }

    /**
     * Returns the declared services.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<ServiceId, Service> services() {
        return Collections.unmodifiableSortedMap(services);
    }

    /**
     * Returns the declared client accounts.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<ClientAccountId, ClientAccount> clientAccounts() {
        return Collections.unmodifiableSortedMap(clientAccounts);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Declarations declarations
                && declarationsByKey.equals(declarations.declarationsByKey);
    }

    @Override
    public int hashCode() {
        return declarationsByKey.hashCode();
    }

    @Override
    public String toString() {
        return "Declarations" + declarationsByKey.keySet();
    }
}
