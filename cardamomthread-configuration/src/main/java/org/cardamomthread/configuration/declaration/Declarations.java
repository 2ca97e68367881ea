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
 * Holds one set of declarations.
 *
 * <p>Two sets with the same declarations are equal and have the same canonical form and digest,
 * whatever files, order, spelling of defaults or layout they came from. References between
 * declarations are checked by {@link DeclarationsLoader} and not here. Immutable and safe for use
 * by several threads.
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
            SortedMap<DeclarationKey, String> texts, SortedMap<DeclarationKey, Object> entries) {
        this.canonicalJsonByKey = Collections.unmodifiableSortedMap(texts);
        this.declarationsByKey = Collections.unmodifiableSortedMap(entries);
        entries.values().forEach(this::index);
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
     * Returns the set without any declaration.
     *
     * @return the empty set
     */
    public static Declarations empty() {
        return EMPTY;
    }

    /**
     * Builds a set from canonical texts.
     *
     * @param texts the canonical JSON text of each declaration
     * @return the set
     * @throws IllegalArgumentException if a text is not a declaration of its kind
     */
    public static Declarations fromCanonicalJson(Map<DeclarationKey, String> texts) {
        return EMPTY.with(texts, Set.of());
    }

    /**
     * Copies this set with changes; unchanged declarations are shared.
     *
     * @param changed the canonical JSON text of each declaration that is new or changed
     * @param removed the declarations to leave out
     * @return the copy
     * @throws IllegalArgumentException if a text is not a declaration of its kind
     */
    public Declarations with(Map<DeclarationKey, String> changed, Set<DeclarationKey> removed) {
        SortedMap<DeclarationKey, String> textCopy = new TreeMap<>(canonicalJsonByKey);
        SortedMap<DeclarationKey, Object> copy = new TreeMap<>(declarationsByKey);
        textCopy.keySet().removeAll(removed);
        copy.keySet().removeAll(removed);
        changed.forEach(
                (key, text) -> {
                    textCopy.put(key, text);
                    copy.put(key, DeclarationCodec.read(key, text));
                });
        return new Declarations(textCopy, copy);
    }

    /**
     * Copies this set with another form of one service.
     *
     * @param service the service
     * @return the copy
     */
    public Declarations with(Service service) {
        DeclarationKey key = new DeclarationKey(DeclarationKind.SERVICE, service.id().value());
        return with(Map.of(key, DeclarationCodec.write(service)), Set.of());
    }

    /**
     * Returns each declaration as its canonical JSON text.
     *
     * @return an unmodifiable map in the order of keys
     */
    public SortedMap<DeclarationKey, String> canonicalJsonByKey() {
        return canonicalJsonByKey;
    }

    /**
     * Converts to a tree of the form that files have, with every default written out.
     *
     * @return the tree, with its members and ids in a fixed order
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
     * Writes the canonical form.
     *
     * @return JSON on one line, the same for equal sets
     */
    public String toCanonicalJson() {
        StringJoiner sections = new StringJoiner(",", "{", "}");
        for (DeclarationKind kind : DeclarationKind.values()) {
            StringJoiner section = new StringJoiner(",", "\"" + kind.sectionKey() + "\":[", "]");
            canonicalJsonByKey.forEach(
                    (key, text) -> {
                        if (key.kind() == kind) {
                            section.add(text);
                        }
                    });
            sections.add(section.toString());
        }
        return sections.toString();
    }

    /**
     * Computes the digest of the canonical form.
     *
     * @return its SHA-256, 64 lower-case hexadecimal digits
     */
    public String digest() {
        return Sha256.hexDigest(toCanonicalJson());
    }

    /**
     * Finds the client account that a token belongs to.
     *
     * @param token the token as presented
     * @return the account, or empty if the token is unknown
     */
    public Optional<ClientAccount> findAccountByToken(String token) {
        return Optional.ofNullable(accountsByTokenSha256.get(Sha256.hexDigest(token)));
    }

    /**
     * Finds a service.
     *
     * @param id its id
     * @return the service, or empty if it is not declared
     */
    public Optional<Service> findService(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /**
     * Finds a profile.
     *
     * @param id its id
     * @return the profile, or empty if it is not declared
     */
    public Optional<Profile> findProfile(ProfileId id) {
        return Optional.ofNullable(profiles.get(id));
    }

    /**
     * Finds a class of endpoints.
     *
     * @param id its id
     * @return the class, or empty if it is not declared
     */
    public Optional<EndpointClass> findEndpointClass(EndpointClassId id) {
        return Optional.ofNullable(endpointClasses.get(id));
    }

    /**
     * Returns the data centres.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<DataCentreId, DataCentre> dataCentres() {
        return Collections.unmodifiableSortedMap(dataCentres);
    }

    /**
     * Returns the classes of endpoints.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<EndpointClassId, EndpointClass> endpointClasses() {
        return Collections.unmodifiableSortedMap(endpointClasses);
    }

    /**
     * Returns the profiles.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<ProfileId, Profile> profiles() {
        return Collections.unmodifiableSortedMap(profiles);
    }

    /**
     * Returns the services.
     *
     * @return an unmodifiable map in the order of ids
     */
    public SortedMap<ServiceId, Service> services() {
        return Collections.unmodifiableSortedMap(services);
    }

    /**
     * Returns the client accounts.
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
